package engine

import (
	"container/list"
	"hash/fnv"
)

// blockBytes is the size of a cached piece of prompt.
const blockBytes = 256

// prefixCache is a bounded cache of prompt prefixes, least recently used
// out first: a prompt's block hits only if every block before it does.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List // of uint64, most recent first
	hit    int64      // bytes
	missed int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// read takes a prompt through the cache and returns the bytes not cached.
func (c *prefixCache) read(prompt string) (missed int) {
	h := fnv.New64a()
	hitting := true
	for i := 0; i < len(prompt); i += blockBytes {
		block := prompt[i:min(i+blockBytes, len(prompt))]
		_, _ = h.Write([]byte(block)) // the hash covers all blocks so far
		el, ok := c.blocks[h.Sum64()]
		if ok {
			c.order.MoveToFront(el)
		} else {
			c.add(h.Sum64())
		}
		if hitting = hitting && ok; !hitting {
			missed += len(block)
		}
	}
	c.missed += int64(missed)
	c.hit += int64(len(prompt) - missed)
	return missed
}

func (c *prefixCache) add(sum uint64) {
	c.blocks[sum] = c.order.PushFront(sum)
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	delete(c.blocks, oldest.Value.(uint64))
}

// CacheState is the prefix cache in the state dump.
type CacheState struct {
	Blocks      int   `json:"blocks"`
	HitBytes    int64 `json:"hit_bytes"`
	MissedBytes int64 `json:"missed_bytes"`
}

func (c *prefixCache) state() CacheState {
	return CacheState{Blocks: len(c.blocks), HitBytes: c.hit, MissedBytes: c.missed}
}

package engine

import (
	"container/list"
	"hash/fnv"
)

// blockBytes is the size of a cached prompt block.
const blockBytes = 256

// prefixCache is a bounded LRU cache of prompt prefixes. A block of a prompt
// hits only if every block before it does.
type prefixCache struct {
	limit       int
	blocks      map[uint64]*list.Element
	recency     *list.List // of uint64, most recent first
	hitBytes    int64
	missedBytes int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, recency: list.New()}
}

// access looks up the blocks of a prompt, inserts the missing ones and returns
// the number of bytes that were not cached.
func (c *prefixCache) access(prompt string) (missedBytes int) {
	h := fnv.New64a()
	prefixHit := true
	for i := 0; i < len(prompt); i += blockBytes {
		block := prompt[i:min(i+blockBytes, len(prompt))]
		_, _ = h.Write([]byte(block)) // the hash covers the whole prefix
		el, ok := c.blocks[h.Sum64()]
		if ok {
			c.recency.MoveToFront(el)
		} else {
			c.insert(h.Sum64())
		}
		if prefixHit = prefixHit && ok; !prefixHit {
			missedBytes += len(block)
		}
	}
	c.missedBytes += int64(missedBytes)
	c.hitBytes += int64(len(prompt) - missedBytes)
	return missedBytes
}

func (c *prefixCache) insert(hash uint64) {
	c.blocks[hash] = c.recency.PushFront(hash)
	if c.recency.Len() <= c.limit {
		return
	}
	oldest := c.recency.Back()
	c.recency.Remove(oldest)
	delete(c.blocks, oldest.Value.(uint64))
}

// CacheState describes the prefix cache in the state dump.
type CacheState struct {
	Blocks      int   `json:"blocks"`
	HitBytes    int64 `json:"hit_bytes"`
	MissedBytes int64 `json:"missed_bytes"`
}

func (c *prefixCache) state() CacheState {
	return CacheState{Blocks: len(c.blocks), HitBytes: c.hitBytes, MissedBytes: c.missedBytes}
}

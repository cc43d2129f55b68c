package ratelimit

import "time"

// Bucket dimensions.
const (
	// A bucket holds burst requests plus what the limit allows in burstTime. Without this slack
	// the limit would be fully used only if requests came at even intervals.
	burst     = 2
	burstTime = 250 * time.Millisecond
)

// bucket is a leaky bucket: it drains at the limit and holds the requests sent beyond it. The zero
// value is empty.
type bucket struct {
	level float64
	at    time.Time
}

func capacity(limit float64) float64 { return burst + limit*burstTime.Seconds() }

// drain lowers the level by what the limit has allowed since the last call.
func (b *bucket) drain(now time.Time, limit float64) {
	b.level = max(0, b.level-limit*now.Sub(b.at).Seconds())
	b.at = now
}

// add raises the level by n requests.
func (b *bucket) add(n float64) { b.level += n }

// overfill returns by how many requests the level exceeds the capacity.
func (b *bucket) overfill(limit float64) float64 { return max(0, b.level-capacity(limit)) }

// wait returns how long until the bucket has room for one more request and leaves headroom
// unused. The bucket drains at limit; its capacity is that of the full limit.
func (b *bucket) wait(headroom, limit, full float64) time.Duration {
	excess := b.level + 1 + headroom - capacity(full)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / limit * float64(time.Second))
}

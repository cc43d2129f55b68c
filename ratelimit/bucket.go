package ratelimit

import "time"

// Shape of a bucket.
const (
	// burst requests may come at once, and burstTime at the limit more: what is sent while
	// there is room must not have to come at even intervals for all of the limit to be used.
	burst     = 2
	burstTime = 250 * time.Millisecond
	// mostDebt bounds how far a bucket may be overfull, in time at the limit: an entry that
	// starts hears of all that was sent before.
	mostDebt = 3 * time.Second
)

// bucket leaks at a limit; it holds the requests sent beyond that. The zero bucket is empty.
type bucket struct {
	level float64
	at    time.Time
}

func capacity(limit float64) float64 { return burst + limit*burstTime.Seconds() }

// leak takes out what the limit has allowed since it was last looked at.
func (b *bucket) leak(now time.Time, limit float64) {
	b.level = max(0, b.level-limit*now.Sub(b.at).Seconds())
	b.at = now
}

// add puts in requests.
func (b *bucket) add(n, limit float64) {
	b.level = min(b.level+n, capacity(limit)+1+limit*mostDebt.Seconds())
}

// wait is how long until there is room for a request that leaves so much room. The bucket
// leaks at limit, and its capacity is that of the full limit.
func (b *bucket) wait(leaves, limit, full float64) time.Duration {
	over := b.level + 1 + leaves - capacity(full)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / limit * float64(time.Second))
}

package quarantine

import "time"

// SoundAfter is how long after its first event an answer clears the parts of its prompt: a part that
// crashes endpoints does so as they begin to answer.
const SoundAfter = 500 * time.Millisecond

// Bounds of the cleared parts: in each of two generations and their age, and the variants kept per part.
const (
	maxCleared         = 8192
	maxClearedAge      = 5 * time.Minute
	maxClearedVariants = 8
)

// clearance says when a variant last answered a request with a part.
type clearance struct {
	variant Variant
	// passed is when the latest answers began that got beyond each stage: their heads came, then events, then they
	// lasted for SoundAfter or were complete. Zero: none did.
	passed [Running + 1]time.Time
	local  bool      // observed by this entry
	seen   time.Time // when this entry learned of the latest that got beyond Running
}

// An answer is told as an age, which is older when it arrives, and entries tell each other again and again.
const (
	// heardTolerance is by how much later an answer that is heard of must be to be news.
	heardTolerance = 100 * time.Millisecond
	// tellMargin is added to the age of an answer, retellMargin to that of one that another entry told of.
	tellMargin   = 50 * time.Millisecond
	retellMargin = 500 * time.Millisecond
)

// tellingMargin returns what to add to the age of the answer.
func (c clearance) tellingMargin() time.Duration {
	if c.local {
		return tellMargin
	}
	return retellMargin
}

// latestOf returns a clearance with the later of the times of two.
func (c clearance) latestOf(other clearance) (latest clearance, changed bool) {
	tolerance := heardTolerance
	if other.local {
		tolerance = 0
	}
	for stage, at := range other.passed {
		if c.passed[stage].IsZero() && !at.IsZero() || at.After(c.passed[stage].Add(tolerance)) {
			c.passed[stage], c.local, changed = at, other.local, true
		}
	}
	return c, changed
}

// passedAt returns the clearance by an answer that began at a time and got beyond a stage.
func passedAt(v Variant, stage Stage, begun time.Time) clearance {
	c := clearance{variant: v, local: true}
	for s := range stage + 1 {
		c.passed[s] = begun
	}
	return c
}

// clearances hold the parts, or the whole requests, that endpoints answered, in two generations: when the
// current one is full or too old it becomes the previous one, which is dropped.
type clearances struct {
	current, previous map[Fingerprint][]clearance
	started           time.Time // of the current generation
}

// add records that a variant answered a part. It reports whether that is news.
func (c *clearances) add(f Fingerprint, one clearance, now time.Time) bool {
	known, _ := c.by(f, one.variant)
	known.variant = one.variant
	merged, changed := known.latestOf(one)
	if !changed {
		return false
	}
	if merged.passed[Running].After(known.passed[Running]) {
		merged.seen = now
	}
	if c.current == nil || len(c.current) >= maxCleared || now.Sub(c.started) > maxClearedAge {
		c.previous, c.current, c.started = c.current, map[Fingerprint][]clearance{}, now
	}
	list := c.current[f]
	oldest := 0
	for i := range list {
		if list[i].variant == one.variant {
			list[i] = merged
			return true
		}
		if list[i].passed[Waiting].Before(list[oldest].passed[Waiting]) {
			oldest = i
		}
	}
	if len(list) >= maxClearedVariants {
		list[oldest] = merged
		return true
	}
	c.current[f] = append(list, merged)
	return true
}

// by returns how a variant last answered a part; ok is false if that is not known.
func (c *clearances) by(f Fingerprint, v Variant) (one clearance, ok bool) {
	for _, one := range c.of(f) {
		if one.variant == v {
			return one, true
		}
	}
	return clearance{}, false
}

// byAny returns how any variant last answered a request.
func (c *clearances) byAny(f Fingerprint) clearance {
	var all clearance
	for _, one := range c.of(f) {
		all, _ = all.latestOf(one)
	}
	return all
}

// at returns when the answer of a variant to a part began that last showed it to be sound; ok is false if none is
// known.
func (c *clearances) at(f Fingerprint, v Variant) (at time.Time, ok bool) {
	one, _ := c.by(f, v)
	return one.passed[Running], !one.passed[Running].IsZero()
}

// of returns the clearances of a part, the latest of each variant first.
func (c *clearances) of(f Fingerprint) []clearance {
	current, previous := c.current[f], c.previous[f]
	if len(previous) == 0 {
		return current
	}
	return append(append([]clearance(nil), current...), previous...)
}

// latest returns when this entry last learned of an answer of any variant that showed a part to be sound, and
// whether it observed that itself.
func (c *clearances) latest(f Fingerprint) (seen time.Time, local bool) {
	for _, one := range c.of(f) {
		if one.seen.After(seen) {
			seen, local = one.seen, one.local
		}
	}
	return seen, local
}

package admission

import "time"

// Measurement of the rate at which requests get capacity.
const (
	// bucketWidth and bucketCount span two seconds, in which a loss of endpoints shows.
	bucketWidth = 100 * time.Millisecond
	bucketCount = 20
	// priorWeight is the time of measurement that the estimate without one counts for. At an entry with
	// eight requests a second some two answers come in it.
	priorWeight = 300 * time.Millisecond
	// heldGain is the weight of one request in the mean time that requests hold their capacity.
	heldGain = 0.1
	// minRateShare is the least share of the rate that is assumed to remain for a request beside the more
	// urgent ones.
	minRateShare = 0.1
)

// Capacity is what is known of a service without a measurement.
type Capacity struct {
	// Slots are those of the service's endpoints, Entries the number of entries that share them.
	Slots, Entries int
	// Version changes whenever the endpoints do.
	Version any
}

type bucket struct {
	index int64
	// short is how long requests waited, slotTime the same multiplied by the slots.
	short    time.Duration
	slotTime float64
	got      float64
	arrivals [classes]float64 // while requests waited
}

// meter measures the rate at which a service's requests get capacity while others wait for it; at other
// times the rate shows the demand.
type meter struct {
	buckets [bucketCount]bucket
	held    time.Duration // mean time that a request holds its capacity; 0: unknown
}

func (m *meter) at(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketWidth)
	b := &m.buckets[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

func (m *meter) short(now time.Time, d time.Duration, slots int) {
	b := m.at(now)
	b.short += d
	b.slotTime += d.Seconds() * float64(slots)
}

func (m *meter) ended(held time.Duration) {
	if m.held == 0 {
		m.held = held
	}
	m.held += time.Duration(heldGain * float64(held-m.held))
}

// sums adds up the buckets of the window.
func (m *meter) sums(now time.Time) (sum bucket) {
	index := now.UnixNano() / int64(bucketWidth)
	for i := range m.buckets {
		b := &m.buckets[i]
		if index-b.index >= bucketCount {
			continue
		}
		sum.short += b.short
		sum.slotTime += b.slotTime
		sum.got += b.got
		for c, n := range b.arrivals {
			sum.arrivals[c] += n
		}
	}
	return sum
}

// prior returns the rate as it follows from the slots, the mean time of a request and this entry's share.
func (m *meter) prior(c Capacity, takes, opensIn time.Duration) float64 {
	held := m.held
	if held == 0 {
		held = max(takes, time.Millisecond)
	}
	rate := float64(max(c.Slots, 1)) / held.Seconds() / float64(max(c.Entries, 1))
	if opensIn > 0 { // a limit counts, not the slots
		rate = min(rate, 1/opensIn.Seconds())
	}
	return rate
}

// rate returns how many requests a second get capacity at this entry, and the part of them that requests
// of ranks before class take.
func (m *meter) rate(now time.Time, c Capacity, class int, prior float64) (rate, moreUrgent float64) {
	sum := m.sums(now)
	short := sum.short.Seconds()
	if c.Slots > 0 && sum.slotTime > 0 {
		short = sum.slotTime / float64(c.Slots) // at the present number of slots
	}
	k := priorWeight.Seconds()
	rate = (max(sum.got, 0) + prior*k) / (short + k)
	for i := range class {
		moreUrgent += sum.arrivals[i]
	}
	return rate, moreUrgent / (sum.short.Seconds() + k)
}

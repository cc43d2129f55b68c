package shares

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand and shares.
const (
	// recentSlots slots of recentSlotTime are the time over which recent demand is measured.
	recentSlots    = 4
	recentSlotTime = 500 * time.Millisecond
	// usualSlots slots of usualSlotTime are the time over which usual demand is measured, without the present slot.
	usualSlots    = 12
	usualSlotTime = 5 * time.Second
	// sampleInterval is the time between two samples for the usual demand.
	sampleInterval = time.Second
	// minSamples is how many samples the usual demand needs; with fewer, customers have equal parts.
	minSamples = 5
	// refreshInterval is the time between two computations of the shares.
	refreshInterval = 250 * time.Millisecond
	// toldTTL is how long demand told by another entry counts.
	toldTTL = 3 * time.Second
	// forgetAfter is how long a customer or service without requests is kept: until it has left the usual demand.
	forgetAfter = (usualSlots + 2) * usualSlotTime
	// tolerance is how far demand may be over the share before requests count as in excess: over two seconds, demand
	// of a constant rate varies by about this much.
	tolerance = 1.25
	// maxDemands bounds the customers that are kept, by service.
	maxDemands = 4096
	// maxToldRows bounds the rows that are kept of another entry's datagram.
	maxToldRows = 128
)

// demandKey identifies a customer at a service, by hashes of the names.
type demandKey struct{ service, customer uint32 }

// demand is the engine time that a customer asks of a service.
type demand struct {
	customer string // empty: this entry had no request of it
	recent   [recentSlots]demandSlot
	told     int64                 // by other entries, in milliseconds per second
	usual    [usualSlots + 1]int32 // sums of samples
	used     time.Time
	excess   float32 // part of the demand that is over the share
	isOver   bool    // as logged
}

type demandSlot struct {
	index int32
	ms    float32
}

// usualSamples counts the samples in each slot of the usual demand.
type usualSamples struct {
	slot    int64
	counts  [usualSlots + 1]int
	sampled time.Time
}

type toldDemand struct {
	rows []DemandRow
	at   time.Time
}

// DemandRow is the demand of a customer at a service, as entries exchange it.
type DemandRow struct {
	Service, Customer uint32 // hashes of the names
	Rate              uint32 // engine time in milliseconds per second
}

func (t *Table) demandLocked(k demandKey, now time.Time) *demand {
	d := t.demands[k]
	if d == nil {
		if len(t.demands) >= maxDemands {
			return &demand{}
		}
		d = &demand{}
		t.demands[k] = d
	}
	d.used = now
	return d
}

// AddDemand records a request of a customer by the engine time that it is expected to take.
func (t *Table) AddDemand(name, customer string, work time.Duration) {
	if t == nil || work <= 0 {
		return
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.namedLocked(name, now)
	d := t.demandLocked(demandKey{hashOf(name), hashOf(customer)}, now)
	d.customer = customer
	index := int32(now.Sub(t.start) / recentSlotTime)
	s := &d.recent[index%recentSlots]
	if s.index != index {
		*s = demandSlot{index: index}
	}
	s.ms += float32(work.Seconds() * 1000)
}

// ownRate returns the recent demand at this entry in milliseconds per second.
func (d *demand) ownRate(sinceStart time.Duration) float64 {
	index := int32(sinceStart / recentSlotTime)
	sum := 0.0
	for _, s := range d.recent {
		if index-s.index < recentSlots {
			sum += float64(s.ms)
		}
	}
	window := (recentSlots-1)*recentSlotTime + sinceStart%recentSlotTime
	return sum / max(recentSlotTime, min(window, sinceStart)).Seconds()
}

func (d *demand) rate(sinceStart time.Duration) float64 {
	return d.ownRate(sinceStart) + float64(max(0, d.told))
}

// Demands returns the demand at this entry for other entries, the largest first.
func (t *Table) Demands() []DemandRow {
	if t == nil {
		return nil
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	var out []DemandRow
	for k, d := range t.demands {
		if rate := d.ownRate(now.Sub(t.start)); rate >= 0.5 {
			out = append(out, DemandRow{k.service, k.customer, uint32(min(rate+0.5, math.MaxInt32))})
		}
	}
	slices.SortFunc(out, func(a, b DemandRow) int { return cmp.Compare(b.Rate, a.Rate) })
	return out
}

// ReceiveDemands stores the demand at another entry, replacing what it told before.
func (t *Table) ReceiveDemands(entry string, rows []DemandRow) {
	if t == nil {
		return
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(rows) == 0 {
		return // they may not have fit; what was told before expires
	}
	t.expireLocked(entry)
	if len(rows) > maxToldRows {
		rows = rows[:maxToldRows]
	}
	t.told[entry] = &toldDemand{rows: rows, at: now}
	for _, r := range rows {
		t.demandLocked(demandKey{r.Service, r.Customer}, now).told += int64(r.Rate)
	}
}

// expireLocked removes what another entry told.
func (t *Table) expireLocked(entry string) {
	told := t.told[entry]
	if told == nil {
		return
	}
	delete(t.told, entry)
	for _, r := range told.rows {
		if d := t.demands[demandKey{r.Service, r.Customer}]; d != nil {
			d.told = max(0, d.told-int64(r.Rate))
		}
	}
}

// refreshLocked removes what has expired, samples the usual demand and computes the shares, at most every
// refreshInterval.
func (t *Table) refreshLocked(now time.Time) {
	if !t.refreshed.IsZero() && now.Sub(t.refreshed) < refreshInterval {
		return
	}
	t.refreshed = now
	for entry, told := range t.told {
		if now.Sub(told.at) > toldTTL {
			t.expireLocked(entry)
		}
	}
	t.sweepLocked(now)
	t.sampleLocked(now)
	t.shareLocked(now)
}

// sweepLocked forgets customers and services without requests.
func (t *Table) sweepLocked(now time.Time) {
	if now.Sub(t.swept) < usualSlotTime {
		return
	}
	t.swept = now
	for k, d := range t.demands {
		if now.Sub(d.used) > forgetAfter && d.told == 0 {
			delete(t.demands, k)
		}
	}
	for hash, s := range t.services {
		if now.Sub(s.used) > forgetAfter {
			delete(t.services, hash)
		}
	}
}

// sampleLocked adds the present demand to the usual one.
func (t *Table) sampleLocked(now time.Time) {
	u := &t.usual
	for slot := int64(now.Sub(t.start) / usualSlotTime); u.slot < slot; {
		u.slot = max(u.slot+1, slot-usualSlots)
		u.counts[u.slot%(usualSlots+1)] = 0
		for _, d := range t.demands {
			d.usual[u.slot%(usualSlots+1)] = 0
		}
	}
	if !u.sampled.IsZero() && now.Sub(u.sampled) < sampleInterval {
		return
	}
	u.sampled = now
	i := u.slot % (usualSlots + 1)
	u.counts[i]++
	for _, d := range t.demands {
		d.usual[i] += int32(min(d.rate(now.Sub(t.start)), 1<<26))
	}
}

// usualRate returns the usual demand of a customer; known: there were enough samples. It is the median over the slots,
// so that a customer's demand of some seconds does not become its usual one while it lasts.
func (t *Table) usualRate(d *demand) (rate float64, known bool) {
	var rates [usualSlots]float64
	n, samples := 0, 0
	for i, count := range t.usual.counts {
		if count > 0 && int64(i) != t.usual.slot%(usualSlots+1) {
			rates[n] = float64(d.usual[i]) / float64(count)
			n++
			samples += count
		}
	}
	slices.Sort(rates[:n])
	if n > 0 {
		rate = (rates[(n-1)/2] + rates[n/2]) / 2
	}
	return rate, samples >= minSamples
}

// claim is the demand of one customer for the computation of shares.
type claim struct {
	recent, usual float64
	share         float64 // result
}

// shareLocked computes what part of each customer's demand is over its share.
func (t *Table) shareLocked(now time.Time) {
	claims := map[uint32][]*claim{}
	byDemand := map[*demand]*claim{}
	known := false
	for k, d := range t.demands {
		c := &claim{recent: d.rate(now.Sub(t.start))}
		c.usual, known = t.usualRate(d)
		claims[k.service] = append(claims[k.service], c)
		byDemand[d] = c
	}
	worst := 0.0
	for _, s := range t.services {
		worst = max(worst, s.shortage(LeastUrgent, t.delaySlot(now)))
		t.noteCapacityLocked(s, now)
	}
	for hash, of := range claims {
		shortage := 0.0
		if s := t.services[hash]; s != nil {
			shortage = s.shortage(LeastUrgent, t.delaySlot(now))
		}
		share(of, known, shortage)
	}
	t.overShare = 0
	for k, d := range t.demands {
		c := byDemand[d]
		d.excess = float32(c.excess())
		t.noteOverShareLocked(k, d, c, now)
	}
	t.Scope.Gauge("shortage").Update(worst)
	t.Scope.Gauge("customers_over_share").Update(float64(t.overShare))
}

// noteOverShareLocked logs when a customer of a service that is short of capacity gets over its share, and when it is
// back within it.
func (t *Table) noteOverShareLocked(k demandKey, d *demand, c *claim, now time.Time) {
	s := t.services[k.service]
	if s == nil || d.customer == "" {
		return // not seen at this entry
	}
	isOver := d.excess > 0 && s.shortAt(now)
	if isOver {
		t.overShare++
	}
	switch {
	case !d.isOver && isOver:
		d.isOver = true
		t.Log.Info("shares: customer is over its share.", "service", s.name, "customer", d.customer, "demand", int(c.recent), "usual", int(c.usual),
			"share", int(c.share), "excess_permille", int(1000*d.excess), "shortage_permille", int(1000*s.shortage(LeastUrgent, t.delaySlot(now))), "entries", len(t.told)+1,
			"oldest_ms", t.oldestTold(now).Milliseconds())
	case d.isOver && d.excess == 0:
		d.isOver = false
		t.Log.Info("shares: customer is within its share.", "service", s.name, "customer", d.customer, "demand", int(c.recent), "usual", int(c.usual), "share", int(c.share))
	}
}

// oldestTold returns the age of the oldest demand told by another entry that is included.
func (t *Table) oldestTold(now time.Time) (oldest time.Duration) {
	for _, told := range t.told {
		oldest = max(oldest, now.Sub(told.at))
	}
	return oldest
}

// excess returns the part of the demand that is over the share.
func (c *claim) excess() float64 {
	if c.recent <= tolerance*c.share {
		return 0
	}
	return 1 - c.share/c.recent
}

// share divides the capacity of a service among its customers. Each gets an equal part or its usual demand, whichever is
// more; of what is not used, those that ask for more get equal parts (max-min fairness).
//
// Engine capacity is not measured. The usual demand stands for it, raised with the demand of most customers: when all
// rise together, as in a daily wave, none is over its share. While no usual demand is known, nobody who asks for an equal
// part of the demand or less is over its share: otherwise all customers would be, after each start. A capacity that is
// taken too low does no harm, as requests in excess are served from what is left.
func share(claims []*claim, known bool, shortage float64) {
	asking, demand, usual := 0, 0.0, 0.0
	for _, c := range claims {
		if c.recent > 0 {
			asking++
		}
		demand += c.recent
		usual += c.usual
	}
	known = known && usual > 0
	growth, capacity := 1.0, demand*(1-shortage/2)
	equalPart := demand / float64(max(1, asking))
	if known {
		growth = max(1, medianGrowth(claims, usual))
		capacity = max(usual*growth, demand/2)
		equalPart = capacity / float64(max(1, asking))
	}
	left := capacity
	for _, c := range claims {
		c.share = equalPart
		if known {
			c.share = max(c.share, c.usual*growth)
		}
		left -= min(c.recent, c.share)
	}
	lend(claims, left)
}

// lend adds to the shares of those that ask for more what others leave.
func lend(claims []*claim, left float64) {
	var over []*claim
	for _, c := range claims {
		if c.recent > c.share {
			over = append(over, c)
		}
	}
	slices.SortFunc(over, func(a, b *claim) int { return cmp.Compare(a.recent-a.share, b.recent-b.share) })
	for i, c := range over {
		part := min(max(0, left)/float64(len(over)-i), c.recent-c.share)
		c.share += part
		left -= part
	}
}

// medianGrowth returns by how much the demand is over the usual one, at the median of usual demand.
func medianGrowth(claims []*claim, usual float64) float64 {
	byGrowth := slices.DeleteFunc(slices.Clone(claims), func(c *claim) bool { return c.usual == 0 })
	slices.SortFunc(byGrowth, func(a, b *claim) int { return cmp.Compare(a.recent*b.usual, b.recent*a.usual) })
	below := 0.0
	for _, c := range byGrowth {
		if below += c.usual; below >= usual/2 {
			return c.recent / c.usual
		}
	}
	return 1
}

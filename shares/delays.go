package shares

import (
	"cmp"
	"slices"
	"time"
)

// Delays of first events.
const (
	// delaySlots slots of delaySlotTime are the time over which delays are averaged: about two seconds, in which an
	// entry with eight requests per second has some answers of each urgency.
	delaySlots    = 8
	delaySlotTime = 250 * time.Millisecond
	// minAnswers is how many answers a mean is taken over at least; missing ones count as not delayed. One late answer
	// of an entry with few requests is no shortage.
	minAnswers = 4
	// maxDelay bounds the delay of one answer, in objectives, so that a few that waited until their deadlines do not
	// outweigh all others.
	maxDelay = 5.0
	// shortageFrom and fullShortage are the mean delays, in objectives, at which shortage begins and where it is 1.
	shortageFrom = 0.1
	fullShortage = 0.4
	// maxToldAnswers bounds the answers that one row of another entry counts for.
	maxToldAnswers = 1 << 12
	// maxToldServices bounds the services that are kept because another entry told of them.
	maxToldServices = 64
)

// delayStats are the delays at one urgency.
type delayStats struct {
	slots [delaySlots]delaySlot
	// sinceSent are the answers to this entry since its last datagram.
	sinceSent delaySum
	// objective is that of the last answer to this entry; 0: unknown.
	objective time.Duration
}

type delaySlot struct {
	index int64
	delaySum
}

// delaySum is a number of answers and the sum of their delays, in objectives.
type delaySum struct{ answers, sum float64 }

func (s *delaySum) add(answers, sum float64) {
	s.answers += answers
	s.sum += sum
}

func (d *delayStats) add(slot int64, answers, sum float64) {
	s := &d.slots[slot%delaySlots]
	if s.index != slot {
		*s = delaySlot{index: slot}
	}
	s.add(answers, sum)
}

// meanOf returns the mean delay in objectives, and known whether it is one of enough answers.
func (d *delayStats) meanOf(slot int64) (mean float64, known bool) {
	var all delaySum
	for _, s := range d.slots {
		if slot-s.index < delaySlots {
			all.add(s.answers, s.sum)
		}
	}
	return all.sum / max(minAnswers, all.answers), all.answers >= minAnswers
}

// mean returns the mean delay in objectives.
func (d *delayStats) mean(slot int64) float64 {
	mean, _ := d.meanOf(slot)
	return mean
}

// shortage returns the shortage among requests of an urgency or more urgent: the largest at any of them.
func (s *service) shortage(urgency int, slot int64) float64 {
	worst := 0.0
	for u := range urgency + 1 {
		worst = max(worst, s.delays[u].mean(slot))
	}
	return shortageAt(worst)
}

// shortageAt returns the shortage at a mean delay.
func shortageAt(delay float64) float64 {
	return min(1, max(0, (delay-shortageFrom)/(fullShortage-shortageFrom)))
}

// delaySlot returns the number of the present slot. Slots count from delaySlots, so that unused ones are old.
func (t *Table) delaySlot(now time.Time) int64 {
	return delaySlots + int64(now.Sub(t.start)/delaySlotTime)
}

// ObserveDelay records the delay of a first event beyond the time for its own prompt. The urgency is the one that the
// request was sent with.
func (t *Table) ObserveDelay(name string, urgency int, delay, objective time.Duration) {
	if t == nil || objective <= 0 {
		return
	}
	fraction := min(maxDelay, max(0, float64(delay)/float64(objective)))
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.namedLocked(name, now)
	d := &s.delays[clampUrgency(urgency)]
	d.add(t.delaySlot(now), 1, fraction)
	d.sinceSent.add(1, fraction)
	d.objective = objective
	t.noteShortageLocked(s, now)
}

// DelayRow is the delay at one urgency of a service, as entries exchange it.
type DelayRow struct {
	Service  uint32 // hash of its name
	Urgency  uint32
	Answers  uint32
	Permille uint32 // mean delay in thousandths of the objectives
}

// TakeDelays returns the delays of the answers to this entry since the last call.
func (t *Table) TakeDelays() []DelayRow {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []DelayRow
	for hash, s := range t.services {
		for u := range s.delays {
			if sent := &s.delays[u].sinceSent; sent.answers > 0 {
				out = append(out, DelayRow{hash, uint32(u), uint32(sent.answers), uint32(1000*sent.sum/sent.answers + 0.5)})
				*sent = delaySum{}
			}
		}
	}
	slices.SortFunc(out, func(a, b DelayRow) int { return cmp.Compare(b.Answers, a.Answers) })
	return out
}

// ReceiveDelays adds the delays of answers to another entry.
func (t *Table) ReceiveDelays(rows []DelayRow) {
	if t == nil || len(rows) == 0 {
		return
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		if r.Urgency > LeastUrgent || r.Answers == 0 || r.Answers > maxToldAnswers {
			continue
		}
		if t.services[r.Service] == nil && len(t.services) >= maxToldServices {
			continue
		}
		s := t.serviceLocked(r.Service, now)
		answers := float64(r.Answers)
		s.delays[r.Urgency].add(t.delaySlot(now), answers, answers*min(maxDelay, float64(r.Permille)/1000))
		t.noteShortageLocked(s, now)
	}
}

// Bounds of a relative cost, and the weight of one request in the mean.
const (
	minCostRatio, maxCostRatio = 0.25, 4
	costGain                   = 0.1
)

// CostRatio returns the engine time of a larger model in relation to the mean of those that the service's requests were
// considered for, and counts it in the mean.
func (t *Table) CostRatio(name string, cost time.Duration) float64 {
	if t == nil || cost <= 0 {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.namedLocked(name, t.Clock.Now())
	if s.meanCost == 0 {
		s.meanCost = cost.Seconds()
	}
	ratio := cost.Seconds() / s.meanCost
	s.meanCost += costGain * (cost.Seconds() - s.meanCost)
	return min(maxCostRatio, max(minCostRatio, ratio))
}

// shortageHold is how long a service counts as short of capacity after its last shortage. Decisions by urgency end a
// shortage as soon as the least urgent requests yield; if those for a service with capacity applied at once, the wait of
// these requests would take the larger models from urgent ones until the shortage is back.
const shortageHold = 5 * time.Second

// shortAt reports whether the service counts as short of capacity.
func (s *service) shortAt(now time.Time) bool { return now.Before(s.shortUntil) }

// noteShortageLocked logs when a service becomes short of capacity.
func (t *Table) noteShortageLocked(s *service, now time.Time) {
	slot := t.delaySlot(now)
	if s.delaysUnequal(slot) {
		s.unequalUntil = now.Add(shortageHold)
	}
	if s.shortage(LeastUrgent, slot) == 0 {
		t.noteCapacityLocked(s, now)
		return
	}
	s.shortUntil = now.Add(shortageHold)
	if !s.short && s.name != "" {
		s.short = true
		t.Scope.Counter("shortages_total").Inc(1)
		t.Log.Info("shares: service is short of capacity.", "service", s.name, "delays_permille", s.delaysPermille(slot))
	}
}

// delaysUnequal reports whether the mean delay at some urgency would be a shortage at the service's strictest objective.
// Objectives differ: a wait that is short for requests with six seconds is all the time of those with one and a half.
func (s *service) delaysUnequal(slot int64) bool {
	strictest, longest := time.Duration(0), 0.0
	for u := range s.delays {
		d := &s.delays[u]
		if d.objective > 0 && (strictest == 0 || d.objective < strictest) {
			strictest = d.objective
		}
		longest = max(longest, d.mean(slot)*float64(d.objective))
	}
	return strictest > 0 && longest > shortageFrom*float64(strictest)
}

// noteCapacityLocked logs when a service is no longer short of capacity.
func (t *Table) noteCapacityLocked(s *service, now time.Time) {
	if s.short && !s.shortAt(now) {
		s.short = false
		t.Log.Info("shares: service has capacity again.", "service", s.name, "delays_permille", s.delaysPermille(t.delaySlot(now)))
	}
}

// delaysPermille returns the mean delay at each urgency that has any.
func (s *service) delaysPermille(slot int64) map[int]int {
	out := map[int]int{}
	for u := range s.delays {
		if m := s.delays[u].mean(slot); m > 0 {
			out[u] = int(1000 * m)
		}
	}
	return out
}

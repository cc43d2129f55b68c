package mesh

import (
	"context"
	"sync"
	"time"
)

const (
	// currentFor is how long after this entry last asked a peer it counts as knowing what the others know: two
	// exchanges.
	currentFor = 2 * exchangeInterval
	// refreshTimeout bounds the wait for a peer's answer, refreshFanout is how many are asked.
	refreshTimeout = 250 * time.Millisecond
	refreshFanout  = 3
	// aloneFor is how long after no peer answered none is waited for.
	aloneFor = time.Second
)

// AwaitCurrent asks peers what they know, and waits for the first answer, if this entry has not heard from any
// lately: it has just started, was paused, or was cut off. Answers to questions from before a pause do not count.
func (m *Mesh) AwaitCurrent(ctx context.Context) {
	now := m.uptime(m.Clock.Now())
	if heard, alone := m.heardAt.Load(), m.aloneAt.Load(); heard > 0 && now-heard <= int64(currentFor) || alone > 0 && now-alone <= int64(aloneFor) {
		return
	}
	done := m.refreshes.DoChan("", func() (any, error) {
		m.refresh()
		return nil, nil
	})
	select {
	case <-done:
	case <-m.Clock.After(refreshTimeout):
	case <-ctx.Done():
	}
}

// uptime returns a time as the time since this entry started, in ns, whatever happens to the time of day.
func (m *Mesh) uptime(at time.Time) int64 { return int64(at.Sub(m.started)) + 1 }

// refresh asks some peers, until the first answers.
func (m *Mesh) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	asked := m.uptime(m.Clock.Now())
	heard, all := make(chan struct{}, refreshFanout), make(chan struct{})
	var wg sync.WaitGroup
	addresses := map[string]bool{}
	for range refreshFanout {
		if address, ok := m.pickPeer(); ok {
			addresses[address] = true
		}
	}
	for address := range addresses {
		wg.Go(func() {
			if m.ExchangeWith(context.WithoutCancel(ctx), address); m.heardAt.Load() >= asked {
				heard <- struct{}{}
			}
		})
	}
	go func() { wg.Wait(); close(all) }()
	select {
	case <-heard:
		return
	case <-all:
	case <-ctx.Done():
	}
	if m.heardAt.Load() < asked {
		m.aloneAt.Store(m.uptime(m.Clock.Now()))
		m.Log.Info("mesh: no entry told what it knows in time.", "asked", len(addresses))
	}
}

package quarantine

import "sync/atomic"

// Hold is a send of a request to an endpoint that can still be stopped.
type Hold struct {
	table       *Table
	fingerprint Fingerprint
	stop        func()
	stopped     atomic.Bool
}

// Hold calls stop if a request is quarantined before Release is called: a request that is
// still waiting at an endpoint has not crashed it yet. stop must not block.
func (t *Table) Hold(f Fingerprint, stop func()) *Hold {
	h := &Hold{table: t, fingerprint: f, stop: stop}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holds[f] == nil {
		t.holds[f] = map[*Hold]struct{}{}
	}
	t.holds[f][h] = struct{}{}
	return h
}

// Release ends the hold; it may be called more than once.
func (h *Hold) Release() {
	t := h.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.holds[h.fingerprint], h)
	if len(t.holds[h.fingerprint]) == 0 {
		delete(t.holds, h.fingerprint)
	}
}

// Stopped reports whether the send was stopped.
func (h *Hold) Stopped() bool { return h.stopped.Load() }

// stopLocked stops all sends of a request.
func (t *Table) stopLocked(f Fingerprint) {
	for h := range t.holds[f] {
		h.stopped.Store(true)
		h.stop()
	}
	delete(t.holds, f)
}

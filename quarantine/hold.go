package quarantine

import "sync/atomic"

// Hold is a send of a request to an endpoint that can still be stopped.
type Hold struct {
	table   *Table
	subject Subject
	stop    func()
	stopped atomic.Bool
}

// Hold calls stop if a request, or a part of its prompt, is quarantined before Release is called: a
// request that is still waiting at an endpoint has not crashed it yet. stop must not block.
func (t *Table) Hold(s Subject, stop func()) *Hold {
	h := &Hold{table: t, subject: s, stop: stop}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds[h] = struct{}{}
	return h
}

// Release ends the hold; it may be called more than once.
func (h *Hold) Release() {
	t := h.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.holds, h)
}

// Stopped reports whether the send was stopped.
func (h *Hold) Stopped() bool { return h.stopped.Load() }

// stopLocked stops all sends of requests that a cause matches.
func (t *Table) stopLocked(c *cause) {
	for h := range t.holds {
		if h.subject.has(c.members) {
			h.stopped.Store(true)
			h.stop()
			delete(t.holds, h)
		}
	}
}

package fleet

import (
	"maps"
	"slices"
	"time"
)

// evacuations are the failure domains that the operators have evacuated. An order is in force
// whatever its value holds: one that cannot be decoded is still an order.
type evacuations struct {
	inForce map[string]bool
	// takenBackAt is when the last evacuation of a domain ended, as this entry learned.
	takenBackAt map[string]time.Time
}

func newEvacuations() evacuations {
	return evacuations{inForce: map[string]bool{}, takenBackAt: map[string]time.Time{}}
}

func (e evacuations) order(domain string) {
	e.inForce[domain] = true
	delete(e.takenBackAt, domain)
}

func (e evacuations) takeBack(domain string, now time.Time) {
	delete(e.inForce, domain)
	e.takenBackAt[domain] = now
}

// ordered returns the domains that are evacuated, sorted.
func (e evacuations) ordered() []string { return slices.Sorted(maps.Keys(e.inForce)) }

// coldUntil returns until when an endpoint counts as cold. One that got no requests during an
// evacuation may have turned cold without saying so yet.
func (e evacuations) coldUntil(ep Endpoint, s Service) time.Time {
	back, evacuated := e.takenBackAt[ep.Domain]
	if until := back.Add(s.ColdFor); evacuated && s.ColdFor > 0 && until.After(ep.ColdUntil) {
		return until
	}
	return ep.ColdUntil
}

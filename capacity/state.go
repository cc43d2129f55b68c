package capacity

import "github.com/lovageweir/lovageweir/fleet"

// EndpointState is the state of one endpoint, for the state dump.
type EndpointState struct {
	Endpoint fleet.EndpointID `json:"endpoint"`
	Hash     uint32           `json:"endpoint_hash"` // as in log lines
	Factor   float64          `json:"factor"`        // as used now
	Last     int              `json:"last_percent"`  // as last reported
	AgeMS    int64            `json:"age_ms"`        // of that report
	Usual    int              `json:"usual_percent"`
}

// State returns the state of those of the given endpoints that have reported a figure.
func (t *Table) State(endpoints []fleet.Endpoint) []EndpointState {
	now := t.sinceStart()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EndpointState
	for i := range endpoints {
		hash := uint32(endpoints[i].Hash())
		s, known := t.byHash[hash]
		if !known {
			continue
		}
		age := now - s.at
		out = append(out, EndpointState{Endpoint: endpoints[i].ID, Hash: hash, Factor: s.factor(now), Last: int(s.last), AgeMS: age.Milliseconds(), Usual: int(s.usual)})
	}
	return out
}

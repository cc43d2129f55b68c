package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// departureTTL is how long a departure is kept after the endpoint's registration ended.
	departureTTL = time.Minute
	// recordedDepartureTTL is how long other entries are told of an endpoint whose registration
	// says the same, or has ended: the store tells them too.
	recordedDepartureTTL = 10 * time.Second
)

// Departure reports that an endpoint said in an answer to some entry that it leaves.
type Departure struct {
	Endpoint EndpointID
	Age      time.Duration // since the first such answer
}

// departures are the endpoints that said in an answer that they leave. That holds for one
// incarnation of an endpoint, whatever its registration says: the store may be unreachable, for this
// entry or for the endpoint.
type departures map[EndpointID]departure

type departure struct {
	since   time.Time // of the first answer known
	knownAt time.Time // when the endpoint was last registered, or the departure learned
}

// add records a departure and reports whether it is new.
func (d departures) add(id EndpointID, since, now time.Time) bool {
	known, ok := d[id]
	if !ok {
		d[id] = departure{since: since, knownAt: now}
		return true
	}
	if since.Before(known.since) {
		known.since = since
		d[id] = known
	}
	return false
}

// prune removes the departures of endpoints that have not been registered for departureTTL.
func (d departures) prune(isRegistered func(EndpointID) bool, now time.Time) {
	for id, known := range d {
		switch {
		case isRegistered(id):
			known.knownAt = now
			d[id] = known
		case now.Sub(known.knownAt) > departureTTL:
			delete(d, id)
		}
	}
}

// AddDepartures records that endpoints leave, and reports whether that was new of any.
func (f *Follower) AddDepartures(from string, reports []Departure) (changed bool) {
	if len(reports) == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, r := range reports {
		if r.Age >= departureTTL && !f.viewBuilder.isRegistered(r.Endpoint) {
			continue // gone; entries would tell each other of it forever
		}
		if f.viewBuilder.departures.add(r.Endpoint, now.Add(-max(0, r.Age)), now) {
			changed = true
			f.viewBuilder.changed[r.Endpoint.Name()] = true
			f.log.Info("fleet: endpoint says that it leaves.", "endpoint", r.Endpoint, "from", from, "age_ms", r.Age.Milliseconds())
		}
	}
	if changed {
		f.publishLocked(f.View().Revision, now)
	}
	return changed
}

// Departures returns the departures to tell to other entries, latest first.
func (f *Follower) Departures() []Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.viewBuilder.departures) == 0 {
		return nil
	}
	now := f.clock.Now()
	out := make([]Departure, 0, len(f.viewBuilder.departures))
	for id, d := range f.viewBuilder.departures {
		if age := now.Sub(d.since); age < recordedDepartureTTL || f.viewBuilder.takesRequests(id) {
			out = append(out, Departure{Endpoint: id, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

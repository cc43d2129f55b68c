package route

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/config"
)

// Request is what the decision needs to know about one call.
type Request struct {
	APIKey string
	Model  string
	// Session is the caller's session id; empty for a one-off request.
	Session string
	// PinnedVersion is the version a verified session token carries, for
	// PinnedCustomer; empty when the session is new. A pin for another
	// customer than the API key's is ignored.
	PinnedVersion  string
	PinnedCustomer string
	// AffinityKey groups requests that share a prompt prefix, so they land
	// where that prefix is likely cached.
	AffinityKey string
}

// Decision says where a request goes.
type Decision struct {
	Customer   string
	Model      string
	Version    string
	Priority   int
	Candidates []BackendInfo // in order of preference
}

// Refusal codes. Every refusal from Decide is made before anything is sent
// to a back end, so all of them are truthfully "not run".
const (
	CodeUnknownKey       = "unknown_api_key"
	CodeModelNotAllowed  = "model_not_allowed"
	CodeVersionWithdrawn = "version_withdrawn"
	CodeNoBackend        = "no_backend"
)

// noBackendRetry is how long a caller should wait when no back end serves the
// version: roughly the time for the instance list and load reports to move.
const noBackendRetry = 2 * time.Second

// Refusal is a truthful answer that the request did not run.
type Refusal struct {
	Code       string
	Status     int
	Message    string
	RetryAfter time.Duration // zero: do not retry unchanged
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Loads reports the current load of a back end; lower is better. It is read
// under the gateway's load table lock, never while a Table is being built.
type Loads interface {
	Load(backend string) int
	Leaving(backend string) bool
}

// Decide routes one request under table t for the entry in domain.
func (t *Table) Decide(r Request, domain string, loads Loads) (*Decision, *Refusal) {
	cust, ok := t.byKey[r.APIKey]
	if !ok {
		return nil, &Refusal{Code: CodeUnknownKey, Status: http.StatusUnauthorized, Message: "the API key is not known"}
	}
	c := t.doc.Customers[cust]
	allowed, ok := c.Allow[r.Model]
	if !ok {
		return nil, &Refusal{Code: CodeModelNotAllowed, Status: http.StatusForbidden,
			Message: fmt.Sprintf("customer %s may not use model %s", cust, r.Model)}
	}
	version, ref := t.pickVersion(r, cust, allowed)
	if ref != nil {
		return nil, ref
	}
	cands := t.candidates(r.Model, version, domain, r.AffinityKey, loads)
	if len(cands) == 0 {
		return nil, &Refusal{Code: CodeNoBackend, Status: http.StatusServiceUnavailable,
			Message: fmt.Sprintf("no back end serves %s@%s now", r.Model, version), RetryAfter: noBackendRetry}
	}
	return &Decision{Customer: cust, Model: r.Model, Version: version, Priority: c.Priority, Candidates: cands}, nil
}

func versionAllowed(allowed []string, v string) bool {
	return slices.Contains(allowed, config.AnyVersion) || slices.Contains(allowed, v)
}

// pickVersion keeps a pinned session on its version, and otherwise picks an
// active version by weight, hashed on the session so a session without a
// token still lands on one version while the weights hold.
func (t *Table) pickVersion(r Request, cust string, allowed []string) (string, *Refusal) {
	if r.PinnedVersion != "" && r.PinnedCustomer == cust {
		v, ok := t.doc.Models[r.Model].Versions[r.PinnedVersion]
		if !ok || v.State != config.StateActive || !versionAllowed(allowed, r.PinnedVersion) {
			// A silent switch would break the session's promise; say so.
			return "", &Refusal{Code: CodeVersionWithdrawn, Status: http.StatusConflict,
				Message: fmt.Sprintf("session version %s@%s is no longer offered; start a new session", r.Model, r.PinnedVersion)}
		}
		return r.PinnedVersion, nil
	}
	var pool []weighted
	total := 0
	for _, w := range t.active[r.Model] {
		if versionAllowed(allowed, w.version) {
			pool = append(pool, w)
			total += w.weight
		}
	}
	if total == 0 {
		return "", &Refusal{Code: CodeModelNotAllowed, Status: http.StatusForbidden,
			Message: fmt.Sprintf("customer %s may use no active version of %s", cust, r.Model)}
	}
	point := int(hash64(r.Session) % uint64(total))
	for _, w := range pool {
		if point < w.weight {
			return w.version, nil
		}
		point -= w.weight
	}
	return pool[len(pool)-1].version, nil
}

// candidates orders the back ends of one version: own failure domain first
// (a cut-off domain keeps serving itself), then lowest load, then prefix
// affinity by rendezvous hashing so a shared prefix tends to one engine.
func (t *Table) candidates(model, version, domain, affinity string, loads Loads) []BackendInfo {
	all := t.backends[modelVersion{model, version}]
	type scored struct {
		b        BackendInfo
		local    bool
		load     int
		affinity uint64
	}
	list := make([]scored, 0, len(all))
	for _, b := range all {
		if loads != nil && loads.Leaving(b.Name) {
			continue
		}
		s := scored{b: b, local: b.Domain == domain, affinity: hash64(affinity + "/" + b.Name)}
		if loads != nil {
			s.load = loads.Load(b.Name)
		}
		list = append(list, s)
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		if a.load != b.load {
			return a.load - b.load
		}
		switch {
		case a.affinity > b.affinity:
			return -1
		case a.affinity < b.affinity:
			return 1
		}
		return 0
	})
	out := make([]BackendInfo, len(list))
	for i, s := range list {
		out[i] = s.b
	}
	return out
}

func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

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
	// Session is the caller's session id; empty for a one-off request, which
	// then falls to a version by its ID.
	Session string
	ID      string
	// Pins are the versions a verified session token carries, by model, for
	// PinnedCustomer. Pins of another customer than the API key's are
	// ignored.
	Pins           map[string]string
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
	CodeShed             = "shed"
)

// shedRetry is how long a shed caller should wait: about an answer's time.
const shedRetry = 2 * time.Second

// The share of a back end's capacity kept free for each step of priority
// above a customer's, and at most.
const (
	reserveStep = 0.1
	reserveMax  = 0.3
)

// Reserve is how many places of a back end with the given capacity are kept
// free of customers that are below levels of priority under the highest. A
// pool that is full refuses whoever comes next; keeping places free of the
// lower ones first is what lets a higher one still in.
func Reserve(capacity, below int) int {
	return int(min(reserveStep*float64(below), reserveMax) * float64(capacity))
}

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

// Endpoints tells a back end's current load (lower is better) and whether it
// may be given new work, in one call, so a decision takes the table's lock
// once per back end it looks at.
type Endpoints interface {
	State(b *BackendInfo) (load int, usable bool)
}

// Halts tells whether a version was halted for answering badly.
type Halts interface {
	Halted(subject string) bool
}

// View is what a decision knows besides the configuration. Nil fields are
// left out of account.
type View struct {
	Domain    string // the entry's failure domain
	Endpoints Endpoints
	Halts     Halts
}

func (v View) halted(subject string) bool { return v.Halts != nil && v.Halts.Halted(subject) }

// Decide routes one request for one model under table t.
func (t *Table) Decide(r Request, view View) (*Decision, *Refusal) {
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
	version, ref := t.pickVersion(r, cust, allowed, view)
	if ref != nil {
		return nil, ref
	}
	cands, least := t.candidates(r.Model, version, r.AffinityKey, view)
	if len(cands) > 0 && t.shed(cands[0].Capacity, least, c.Priority) {
		return nil, &Refusal{Code: CodeShed, Status: http.StatusServiceUnavailable, RetryAfter: shedRetry,
			Message: fmt.Sprintf("%s@%s is nearly full; what is left is kept for higher priorities", r.Model, version)}
	}
	if len(cands) == 0 {
		return nil, &Refusal{Code: CodeNoBackend, Status: http.StatusServiceUnavailable,
			Message: fmt.Sprintf("no back end serves %s@%s now", r.Model, version), RetryAfter: noBackendRetry}
	}
	return &Decision{Customer: cust, Model: r.Model, Version: version, Priority: c.Priority, Candidates: cands}, nil
}

// shed reports whether a request of that priority is refused while the best
// back end has load requests.
func (t *Table) shed(capacity, load, priority int) bool {
	reserve := Reserve(capacity, t.highest-priority)
	return reserve > 0 && load >= capacity-reserve
}

func versionAllowed(allowed []string, v string) bool {
	return slices.Contains(allowed, config.AnyVersion) || slices.Contains(allowed, v)
}

// pickVersion keeps a pinned session on its version, and otherwise picks an
// active version by weight, hashed on the session so a session without a
// token still lands on one version while the weights hold, and on the
// request's own id when it has none. A halted
// version's weight goes to the baseline it is guarded against.
func (t *Table) pickVersion(r Request, cust string, allowed []string, view View) (string, *Refusal) {
	if pin := r.Pins[r.Model]; pin != "" && r.PinnedCustomer == cust {
		v, ok := t.doc.Models[r.Model].Versions[pin]
		if !ok || v.State != config.StateActive || !versionAllowed(allowed, pin) || view.halted(Subject(r.Model, pin, v)) {
			// A silent switch would break the session's promise; say so.
			return "", &Refusal{Code: CodeVersionWithdrawn, Status: http.StatusConflict,
				Message: fmt.Sprintf("session version %s@%s is no longer offered; start a new session", r.Model, pin)}
		}
		return pin, nil
	}
	var pool []weighted
	total := 0
	for _, w := range t.active[r.Model] {
		if view.halted(w.subject) {
			w.version = w.baseline
		}
		if w.version != "" && versionAllowed(allowed, w.version) {
			pool = append(pool, w)
			total += w.weight
		}
	}
	if total == 0 {
		return "", &Refusal{Code: CodeModelNotAllowed, Status: http.StatusForbidden,
			Message: fmt.Sprintf("customer %s may use no active version of %s", cust, r.Model)}
	}
	by := r.Session
	if by == "" {
		by = r.ID
	}
	point := int(mix(hash64(by)) % uint64(total))
	for _, w := range pool {
		if point < w.weight {
			return w.version, nil
		}
		point -= w.weight
	}
	return pool[len(pool)-1].version, nil
}

// maxCandidates is how many back ends a decision hands to dispatch: enough
// for the retry budget and a few provable refusals. The least loaded come
// first, so when they are all full the rest are likely full too, and the
// caller is told to come back rather than made to wait.
const maxCandidates = 4

// candidates picks the best back ends of one version: own failure domain
// first (a cut-off domain keeps serving itself), then the lowest level of
// load, then prefix affinity by rendezvous hashing so a shared prefix tends to one
// engine. Other domains are scanned only when the own one has too few. least
// is the smallest load among them.
func (t *Table) candidates(model, version, affinity string, view View) (list []BackendInfo, least int) {
	vb := t.backends[modelVersion{model, version}]
	if vb == nil {
		return nil, 0
	}
	var top topK
	ah := hash64(affinity)
	top.scan(vb.byDomain[view.Domain], true, ah, view.Endpoints)
	if top.n < maxCandidates {
		for _, d := range vb.domains {
			if d != view.Domain {
				top.scan(vb.byDomain[d], false, ah, view.Endpoints)
			}
		}
	}
	out := make([]BackendInfo, top.n)
	least = top.items[0].load
	for i := range out {
		out[i] = *top.items[i].info
		least = min(least, top.items[i].load)
	}
	return out, least
}

type scored struct {
	info     *BackendInfo // the table's own
	local    bool
	load     int
	level    int // load in quarters of the capacity
	affinity uint64
}

// Loads are compared in levels, so that prefix affinity decides among back
// ends that are about equally loaded: compared one by one, loads are hardly
// ever equal, and a shared prefix is read again on engine after engine
// (docs/CAPACITY.md has BenchmarkPrefixLocality's figures). It also keeps
// entries that all saw the same lagging report from picking the same engine.
const (
	loadLevels   = 4
	levelUnknown = 4 // requests a level where the capacity is not known
)

func levelOf(load, capacity int) int {
	if capacity <= 0 {
		return load / levelUnknown
	}
	return load / max(capacity/loadLevels, 1)
}

// better orders candidates: local, then less loaded, then higher affinity.
func (a *scored) better(b *scored) bool {
	if a.local != b.local {
		return a.local
	}
	if a.level != b.level {
		return a.level < b.level
	}
	return a.affinity > b.affinity
}

// topK keeps the best maxCandidates seen, best first, without allocating.
type topK struct {
	items [maxCandidates]scored
	n     int
}

func (k *topK) scan(list []backendEntry, local bool, affinityHash uint64, eps Endpoints) {
	for i := range list {
		s := scored{info: &list[i].info, local: local, affinity: mix(affinityHash ^ list[i].nameHash)}
		if eps != nil {
			var usable bool
			if s.load, usable = eps.State(s.info); !usable {
				continue
			}
			s.level = levelOf(s.load, s.info.Capacity)
		}
		k.insert(s)
	}
}

func (k *topK) insert(s scored) {
	pos := k.n
	for pos > 0 && s.better(&k.items[pos-1]) {
		pos--
	}
	if pos >= maxCandidates {
		return
	}
	last := k.n
	if last == maxCandidates {
		last--
	} else {
		k.n++
	}
	copy(k.items[pos+1:last+1], k.items[pos:last])
	k.items[pos] = s
}

// mix is the splitmix64 finalizer: it spreads an xor of two hashes so
// rendezvous scores are independent per back end.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Steps returns what a request for name may go through: the cascade's steps
// that the customer may use, or the one model. It is empty when the customer
// may not use name at all.
func (t *Table) Steps(apiKey, name string) []config.Step {
	c := t.doc.Customers[t.byKey[apiKey]]
	cascade, ok := t.doc.Cascades[name]
	if !ok {
		return []config.Step{{Model: name}}
	}
	if _, ok := c.Allow[name]; !ok {
		return nil
	}
	var out []config.Step
	for _, st := range cascade.Steps {
		if _, ok := c.Allow[st.Model]; ok {
			out = append(out, st)
		}
	}
	return out
}

func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

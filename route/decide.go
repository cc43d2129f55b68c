package route

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/config"
)

// Request is the input to a routing decision.
type Request struct {
	APIKey string
	Model  string
	// Session is the caller's session id. It is empty for a one-off request,
	// whose version is picked by ID instead.
	Session string
	ID      string
	// Pins are the versions a verified session token carries, by model, for
	// PinnedCustomer. Pins of another customer than the API key's are
	// ignored.
	Pins           map[string]string
	PinnedCustomer string
	// AffinityKey groups requests that share a prompt prefix, so that they
	// go to an engine that likely has it cached.
	AffinityKey string
}

// Decision is the routing decision for one request.
type Decision struct {
	Customer   string
	Model      string
	Version    string
	Priority   int
	Candidates []BackendInfo // in order of preference
}

// Refusal codes. Decide refuses before anything is sent to a back end, so a
// refused request is known not to have run.
const (
	CodeUnknownKey       = "unknown_api_key"
	CodeModelNotAllowed  = "model_not_allowed"
	CodeVersionWithdrawn = "version_withdrawn"
	CodeNoBackend        = "no_backend"
	CodeShed             = "shed"
)

// shedRetry is the retry delay for shed requests: about the time of one answer.
const shedRetry = 2 * time.Second

// The share of a back end's capacity reserved per priority level above a
// customer's, and its maximum.
const (
	reserveStep = 0.1
	reserveMax  = 0.3
)

// Reserve returns how many slots of a back end with the given capacity are kept
// free of customers whose priority is levelsBelow levels under the highest. A full pool
// refuses whoever comes next; slots kept free of low priorities admit higher ones.
func Reserve(capacity, levelsBelow int) int {
	return int(min(reserveStep*float64(levelsBelow), reserveMax) * float64(capacity))
}

// noBackendRetry is the retry delay when no back end serves the version:
// roughly the time in which the instance list and load reports are updated.
const noBackendRetry = 2 * time.Second

// Refusal is the error for a request that did not run.
type Refusal struct {
	Code       string
	Status     int
	Message    string
	RetryAfter time.Duration // zero: do not retry unchanged
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Endpoints reports a back end's current load (lower is better) and whether it
// accepts new requests, in one call, so that a decision takes the lock once per
// back end it considers.
type Endpoints interface {
	State(b *BackendInfo) (load int, usable bool)
}

// Resting is implemented by Endpoints that know when back ends want no requests.
type Resting interface {
	// Resting returns how much longer a back end wants no requests; 0: it takes them.
	Resting(backend string) time.Duration
}

// Halts reports whether a version was halted for too many bad answers.
type Halts interface {
	Halted(subject string) bool
}

// View is the runtime state a decision uses besides the configuration. Nil
// fields are ignored.
type View struct {
	Domain    string // the entry's failure domain
	Endpoints Endpoints
	Halts     Halts
}

func (v View) halted(subject string) bool { return v.Halts != nil && v.Halts.Halted(subject) }

// Decide routes one request for one model under table t.
func (t *Table) Decide(r Request, view View) (*Decision, *Refusal) {
	cust, ok := t.customerByKey[r.APIKey]
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
		retryAfter := noBackendRetry
		if rest := t.restEndsIn(r.Model, version, view); rest > 0 {
			retryAfter = rest
		}
		return nil, &Refusal{Code: CodeNoBackend, Status: http.StatusServiceUnavailable,
			Message: t.noBackendMessage(r.Model, version), RetryAfter: retryAfter}
	}
	return &Decision{Customer: cust, Model: r.Model, Version: version, Priority: c.Priority, Candidates: cands}, nil
}

func (t *Table) noBackendMessage(model, version string) string {
	vb := t.backends[modelVersion{model, version}]
	if vb != nil && vb.evacuated > 0 && len(vb.byDomain) == 0 {
		return fmt.Sprintf("all failure domains that serve %s@%s are evacuated", model, version)
	}
	return fmt.Sprintf("no back end serves %s@%s now", model, version)
}

// shed reports whether a request of that priority is refused when the lowest
// load among the candidates is load.
func (t *Table) shed(capacity, load, priority int) bool {
	reserve := Reserve(capacity, t.highestPriority-priority)
	return reserve > 0 && load >= capacity-reserve
}

func versionAllowed(allowed []string, v string) bool {
	return slices.Contains(allowed, config.AnyVersion) || slices.Contains(allowed, v)
}

// pickVersion keeps a pinned session on its version. Otherwise it picks an
// active version by weight, hashed on the session, so that a session without a
// token stays on one version while the weights are unchanged, or on the request
// ID if there is no session. A halted version's weight goes to its baseline.
func (t *Table) pickVersion(r Request, cust string, allowed []string, view View) (string, *Refusal) {
	if pin := r.Pins[r.Model]; pin != "" && r.PinnedCustomer == cust {
		v, ok := t.doc.Models[r.Model].Versions[pin]
		if !ok || v.State != config.StateActive || !versionAllowed(allowed, pin) || view.halted(Subject(r.Model, pin, v)) {
			// Refuse rather than switch the session to another version silently.
			return "", &Refusal{Code: CodeVersionWithdrawn, Status: http.StatusConflict,
				Message: fmt.Sprintf("session version %s@%s is no longer offered; start a new session", r.Model, pin)}
		}
		return pin, nil
	}
	var pool []weightedVersion
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
	hashKey := r.Session
	if hashKey == "" {
		hashKey = r.ID
	}
	point := int(mix(hash64(hashKey)) % uint64(total))
	for _, w := range pool {
		if point < w.weight {
			return w.version, nil
		}
		point -= w.weight
	}
	return pool[len(pool)-1].version, nil
}

// maxCandidates is how many back ends a decision hands to dispatch: enough for
// the retry budget and a few back ends that provably reject the request. The least
// loaded come first, so when they are all full the rest likely are too, and the
// caller is told to retry later instead of being kept waiting.
const maxCandidates = 4

// candidates picks the best back ends of one version: own failure domain
// first (a partitioned domain keeps serving itself), then the lowest load level,
// then prefix affinity by rendezvous hashing, so that a shared prefix tends to
// go to one engine. Other domains are scanned only when the own one has too few.
// least is the smallest load among the candidates.
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

// restEndsIn returns when the first back end of a version that asked for a rest may be used; 0: none did.
func (t *Table) restEndsIn(model, version string, view View) time.Duration {
	vb := t.backends[modelVersion{model, version}]
	eps, ok := view.Endpoints.(Resting)
	if vb == nil || !ok {
		return 0
	}
	first := time.Duration(0)
	for _, list := range vb.byDomain {
		for i := range list {
			if rest := eps.Resting(list[i].info.Name); rest > 0 && (first == 0 || rest < first) {
				first = rest
			}
		}
	}
	return first
}

type scored struct {
	info     *BackendInfo // points into the Table
	local    bool
	load     int
	level    int // see levelOf
	affinity uint64
}

// Loads are compared in levels, so that prefix affinity decides among back ends
// that are about equally loaded: exact loads are hardly ever equal, and a shared
// prefix would be prefilled again on engine after engine (docs/CAPACITY.md has
// the figures of BenchmarkPrefixLocality). Levels also keep entries that saw the
// same stale report from all picking the same engine.
const (
	loadLevels       = 4
	requestsPerLevel = 4 // where the capacity is unknown
)

// levelOf returns load in quarters of the capacity, or in steps of
// requestsPerLevel where the capacity is unknown.
func levelOf(load, capacity int) int {
	if capacity <= 0 {
		return load / requestsPerLevel
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

// mix is the splitmix64 finalizer. It spreads the XOR of two hashes so that
// rendezvous scores are independent per back end.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Steps returns the steps of a request for name: those of the cascade that the
// customer may use, or the one model. It is empty if the customer may not use
// the cascade or any of its steps.
func (t *Table) Steps(apiKey, name string) []config.Step {
	c := t.doc.Customers[t.customerByKey[apiKey]]
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

package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of our own. All refusals but the failures below say
// truly that the request did not run.
type refusal struct {
	status int
	code   string
	// again is when the caller may come back; 0: not with this request.
	again time.Duration
}

// Retry-After of refusals: what has to happen first, and how long it takes.
const (
	// configurationTakes: an entry that starts reads the store in some 10 ms, or
	// in 250 when the store is sixty times as slow as usual.
	configurationTakes = 300 * time.Millisecond
	// otherEntryTakes: another entry serves at once.
	otherEntryTakes = 50 * time.Millisecond
	// freshnessTakes: a lost store is asked again every second.
	freshnessTakes = 500 * time.Millisecond
	// memoryTakes: bodies are held for as long as their requests run.
	memoryTakes = 500 * time.Millisecond
	// roomTakes: an endpoint that is full has room after a request or two.
	roomTakes = 250 * time.Millisecond
	// endpointTakes: an endpoint that crashed is noticed within a second.
	endpointTakes = 400 * time.Millisecond
)

// Refusals: the request did not run.
var (
	refuseStopping   = &refusal{http.StatusServiceUnavailable, "stopping", otherEntryTakes}
	refuseNoConfig   = &refusal{http.StatusServiceUnavailable, "no_configuration", configurationTakes}
	refuseStale      = &refusal{http.StatusServiceUnavailable, "knowledge_stale", freshnessTakes}
	refuseNoRoute    = &refusal{http.StatusNotFound, "no_route", 0}
	refuseKey        = &refusal{http.StatusUnauthorized, "unknown_key", 0}
	refuseBadTarget  = &refusal{http.StatusBadRequest, "bad_target", 0}
	refuseNoID       = &refusal{http.StatusBadRequest, "no_request_id", 0}
	refuseBody       = &refusal{http.StatusBadRequest, "body_broken", 0}
	refuseTooLarge   = &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	refuseMemory     = &refusal{http.StatusServiceUnavailable, "bodies_fill_memory", memoryTakes}
	refuseCrowded    = &refusal{http.StatusServiceUnavailable, "too_many_requests", otherEntryTakes}
	refuseNoEndpoint = &refusal{http.StatusServiceUnavailable, "no_endpoint", endpointTakes}
	refuseFull       = &refusal{http.StatusServiceUnavailable, "endpoints_full", roomTakes}
	refuseDeadline   = &refusal{http.StatusServiceUnavailable, "deadline_before_start", 0}
)

// codeLimited is of refusals while all endpoints are at the limits that they name.
const codeLimited = "endpoints_limited"

func refuseLimited(again time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, codeLimited, again}
}

func (r *refusal) limited() bool { return r != nil && r.code == codeLimited }

// Failures: the request may have run.
var (
	failBroken   = &refusal{http.StatusBadGateway, "endpoint_broke_off", 0}
	failDeadline = &refusal{http.StatusGatewayTimeout, "deadline", 0}
	failStopped  = &refusal{http.StatusBadGateway, "cut_by_stop", 0}
)

type refusalBody struct {
	Error string `json:"error"`
}

// refuse answers with a refusal or failure, if nothing was answered yet.
func (x *exchange) refuse(ref *refusal) {
	x.outcome = ref.code
	x.status = ref.status
	if x.started {
		return
	}
	x.started = true
	x.lastIfStopping()
	h := x.w.Header()
	if ref.again > 0 {
		x.server.Wire.RetryAfter(h, ref.again)
	}
	body, err := json.Marshal(refusalBody{ref.code})
	if err != nil {
		body = nil // the status says it all
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(ref.status)
	_, _ = x.w.Write(body) // a caller that left needs no answer
}

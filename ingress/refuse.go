package ingress

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lovageweir/lovageweir/internal/listen"
)

// refusal is a response of the entry itself. Unless it is one of the failures below,
// the request did not run.
type refusal struct {
	status int
	code   string
	// retryAfter is when the caller may retry; 0: the request is not to be retried.
	retryAfter time.Duration
}

// Retry-After of refusals: how long it takes until a retry can succeed.
const (
	// configLoadTime: a starting entry reads the store in about 10 ms, or in
	// 250 ms if the store is sixty times as slow as usual.
	configLoadTime = 300 * time.Millisecond
	// failoverTime: another entry serves the request at once.
	failoverTime = 50 * time.Millisecond
	// storeRetryTime: an unreachable store is retried every second.
	storeRetryTime = 500 * time.Millisecond
	// memoryReleaseTime: bodies are in memory for as long as their requests run.
	memoryReleaseTime = 500 * time.Millisecond
	// slotReleaseTime: a full endpoint has room after a request or two.
	slotReleaseTime = 250 * time.Millisecond
	// crashDetectionTime: a crashed endpoint is detected within a second.
	crashDetectionTime = 400 * time.Millisecond
	// rebalanceTime: the balancer takes an entry out after two probes, a second apart.
	rebalanceTime = 2500 * time.Millisecond
	// evacuationRetryTime: operators take an evacuation back after seconds at the earliest.
	evacuationRetryTime = 2 * time.Second
)

// Refusals: the request did not run.
var (
	refuseStopping        = &refusal{http.StatusServiceUnavailable, "stopping", failoverTime}
	refuseNoConfig        = &refusal{http.StatusServiceUnavailable, "no_configuration", configLoadTime}
	refuseStale           = &refusal{http.StatusServiceUnavailable, "knowledge_stale", storeRetryTime}
	refuseNoRoute         = &refusal{http.StatusNotFound, "no_route", 0}
	refuseUnknownKey      = &refusal{http.StatusUnauthorized, "unknown_key", 0}
	refuseBadTarget       = &refusal{http.StatusBadRequest, "bad_target", 0}
	refuseNoID            = &refusal{http.StatusBadRequest, "no_request_id", 0}
	refuseBrokenBody      = &refusal{http.StatusBadRequest, "body_broken", 0}
	refuseTooLarge        = &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	refuseMemory          = &refusal{http.StatusServiceUnavailable, "bodies_fill_memory", memoryReleaseTime}
	refuseHeadMemory      = &refusal{http.StatusServiceUnavailable, "heads_fill_memory", memoryReleaseTime}
	refuseTooManyRequests = &refusal{http.StatusServiceUnavailable, "too_many_requests", failoverTime}
	refuseNoEndpoint      = &refusal{http.StatusServiceUnavailable, "no_endpoint", crashDetectionTime}
	refuseUnreached       = &refusal{http.StatusServiceUnavailable, "endpoints_unreached", crashDetectionTime}
	refuseStranded        = &refusal{http.StatusServiceUnavailable, "entry_stranded", rebalanceTime}
	refuseLinkFull        = &refusal{http.StatusServiceUnavailable, "link_full", failoverTime}
	refuseEvacuated       = &refusal{http.StatusServiceUnavailable, "endpoints_evacuated", evacuationRetryTime}
	refuseEndpointsFull   = &refusal{http.StatusServiceUnavailable, "endpoints_full", slotReleaseTime}
	refuseDeadline        = &refusal{http.StatusServiceUnavailable, "deadline_before_start", 0}
)

// codeLimited is the code of refusals while all endpoints are at their announced limits.
const codeLimited = "endpoints_limited"

func refuseLimited(retryAfter time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, codeLimited, retryAfter}
}

func (r *refusal) limited() bool { return r != nil && r.code == codeLimited }

// codeResting is the code of refusals while all endpoints rest.
const codeResting = "endpoints_resting"

// refuseResting is the refusal while all endpoints have asked for a rest.
func refuseResting(retryAfter time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, codeResting, retryAfter}
}

// refuseQuarantined is the refusal of a request that crashes endpoints.
func refuseQuarantined(retryAfter time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, "quarantined", retryAfter}
}

// Failures: the request may have run.
var (
	failBroken   = &refusal{http.StatusBadGateway, "endpoint_broke_off", 0}
	failDeadline = &refusal{http.StatusGatewayTimeout, "deadline", 0}
	failStopped  = &refusal{http.StatusBadGateway, "cut_by_stop", 0}
)

// RefuseHead returns the refusal of a request for whose head there is no memory.
func (s *Server) RefuseHead() *listen.Refusal {
	ref := refuseHeadMemory
	h := http.Header{"Content-Type": {"application/json"}}
	s.HeaderCodec.RetryAfter(h, ref.retryAfter)
	body := ref.body()
	resp := http.Response{StatusCode: ref.status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true}
	var raw bytes.Buffer
	_ = resp.Write(&raw) // writing to a buffer cannot fail
	return &listen.Refusal{Reason: ref.code, Response: raw.Bytes()}
}

type refusalBody struct {
	Error string `json:"error"`
}

func (r *refusal) body() []byte {
	body, err := json.Marshal(refusalBody{r.code})
	if err != nil {
		return nil // the status is sufficient
	}
	return body
}

// refuse responds with a refusal or failure, unless a response was already started.
func (x *exchange) refuse(ref *refusal) {
	x.outcome = ref.code
	x.status = ref.status
	if x.started {
		return
	}
	x.started = true
	x.closeConnIfStopping()
	h := x.w.Header()
	if ref == refuseStranded || ref == refuseUnreached || ref == refuseLinkFull {
		h.Set("Connection", "close")
	}
	if ref.retryAfter > 0 {
		x.server.HeaderCodec.RetryAfter(h, ref.retryAfter)
	}
	body := ref.body()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(ref.status)
	_, _ = x.w.Write(body) // a caller that left needs no answer
}

package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/upstream"
)

// A request that was read but that no endpoint takes from this entry may be served by another one: rests, and an
// entry's parts of limits, are its own. It is sent to the other entry's address for peers as the caller sent it.
const (
	// headerHandoff marks such a request, and the answer of an entry that knows of them.
	headerHandoff = "Lovageweir-Handoff"
	// maxHandoffs is how many entries are tried until one answers with more than a refusal.
	maxHandoffs = 3
	// refusedFor is how long an entry that refused gets no more requests for the same service.
	refusedFor = 500 * time.Millisecond
	// handoffBuffer is the size of the reads of its answer.
	handoffBuffer = 8 << 10
)

// handedOff is the context key of requests that another entry handed to this one.
type handedOff struct{}

// HandoffMiddleware returns a handler for peers that serves requests which other entries hand to this one, and
// passes others on to next.
func (s *Server) HandoffMiddleware(next http.Handler) http.Handler {
	callers := s.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerHandoff) == "" {
			next.ServeHTTP(w, r)
			return
		}
		r.Header.Del(headerHandoff)
		w.Header().Set(headerHandoff, s.Instance)
		callers.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), handedOff{}, true)))
	})
}

// isHandedOff reports whether another entry handed the request to this one.
func (x *exchange) isHandedOff() bool { return x.r.Context().Value(handedOff{}) != nil }

// ownCause reports whether other entries may serve what this one refuses.
func (r *refusal) ownCause() bool { return r.limited() || r.code == codeResting }

// handOff has another entry answer the request that this one would refuse. It reports whether the caller got
// that answer.
func (x *exchange) handOff(ctx context.Context, ref *refusal) bool {
	if !ref.ownCause() || x.runs > 0 || x.started || x.isHandedOff() {
		return false
	}
	s := x.server
	header := s.HeaderCodec.Handoff(x.r.Header, x.remaining())
	header.Set(headerHandoff, s.Instance)
	for _, e := range s.handoffPeers(x.target()) {
		if x.remaining() <= minAttemptTime {
			return false
		}
		resp, err := upstream.Send(ctx, &upstream.Request{Address: e.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body, HasBody: x.hasBody})
		var notSent *upstream.NotSentError
		switch {
		case errors.As(err, &notSent):
			continue
		case err != nil:
			x.runs++ // it may have run
			x.noteHandoffFault(err, e.Instance)
			s.Log.Warn("ingress: entry does not answer a request that was handed to it.", "id", call.Clip(x.metadata.ID), "to", e.Instance, "error", err)
			return false
		case s.refusedHandoff(resp):
			resp.Close()
			s.handoffs.refused(e.Instance, x.target(), s.Clock.Now())
			continue
		}
		x.handedTo = e.Instance
		x.returnHandedOff(resp)
		resp.Close()
		return true
	}
	return false
}

// refusedHandoff reports whether another entry has not run a request that was handed to it: it refused, its
// configuration is another one, or its program does not know handoffs.
func (s *Server) refusedHandoff(resp *upstream.Response) bool {
	head := s.HeaderCodec.Answer(resp.Status, resp.Header)
	own := !head.Sealed && (resp.Status == http.StatusServiceUnavailable || resp.Status/100 == 4)
	return own || resp.Header.Get(headerHandoff) == ""
}

// handoffs remembers which entries refused requests that were handed to them. It is safe for concurrent use.
type handoffs struct {
	mu      sync.Mutex
	refusal map[[2]string]time.Time // by instance and service
}

func (h *handoffs) refused(instance, service string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusal == nil {
		h.refusal = map[[2]string]time.Time{}
	}
	for key, at := range h.refusal {
		if now.Sub(at) >= refusedFor {
			delete(h.refusal, key)
		}
	}
	h.refusal[[2]string{instance, service}] = now
}

func (h *handoffs) mayTry(instance, service string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.refusal[[2]string{instance, service}]
	return !ok || now.Sub(at) >= refusedFor
}

// handoffPeers returns the entries to hand a request for a service to, in the order in which to try them.
func (s *Server) handoffPeers(service string) []fleet.Entry {
	var near, far []fleet.Entry
	entries, now := s.Fleet.View().Entries, s.Clock.Now()
	for _, i := range rand.Perm(len(entries)) {
		switch e := entries[i]; {
		case e.Instance == s.Instance || e.Address == "" || !s.handoffs.mayTry(e.Instance, service, now):
		case e.Domain == s.Domain:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxHandoffs)]
}

// returnHandedOff returns another entry's answer to the caller, as it comes.
func (x *exchange) returnHandedOff(resp *upstream.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		if name != headerHandoff && !strings.EqualFold(name, "Connection") && !strings.EqualFold(name, "Transfer-Encoding") {
			h[name] = values
		}
	}
	x.closeConnIfStopping()
	x.started, x.status, x.outcome = true, resp.Status, "handed_off"
	x.w.WriteHeader(resp.Status)
	buf, body := make([]byte, handoffBuffer), x.handedOffBody(resp)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := x.w.Write(buf[:n]); err != nil {
				x.outcome = "caller_left"
				return
			}
			x.w.Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			x.noteHandoffFault(err, x.handedTo)
			x.abortResponse("handoff_broke_off")
		}
	}
}

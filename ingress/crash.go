package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/upstream"
)

// identify returns what is the same for all attempts of a request, and what it shares with others.
func (x *exchange) identify() quarantine.Subject {
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	s := quarantine.Subject{Request: quarantine.FingerprintOf(customer, x.r.Method, x.r.Host, x.r.RequestURI, x.body)}
	shared := x.metadata.SharedPrompt()
	if len(shared) == 0 {
		return s
	}
	ids := make([]string, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	s.Parts = quarantine.PartFingerprints(x.target(), ids)
	return s
}

// sentRequest describes a request that was sent to an endpoint, for the quarantine.
type sentRequest struct {
	id, route, customer, model string
	subject                    quarantine.Subject
}

// sentRequest returns the request as sent for a model; empty: the one that the caller named.
func (x *exchange) sentRequest(model string) sentRequest {
	r := sentRequest{id: call.Clip(x.metadata.ID), route: x.route.Name, model: x.modelOr(model), subject: x.subject}
	if x.customer != nil {
		r.customer = x.customer.Name
	}
	return r
}

// modelOr returns a model, or the one that the caller named if it is empty.
func (x *exchange) modelOr(model string) string {
	if model == "" {
		return x.metadata.Model
	}
	return model
}

// noteCrash records that the endpoint of an attempt crashed, if it did.
func (x *exchange) noteCrash(c *upstreamCall, stage quarantine.Stage) {
	if c.watch.cause() == "" && c.bound == "" { // one that sends without end has not crashed
		a := &x.attempts[c.attemptIndex]
		a.crashed = x.server.noteCrash(x.sentRequest(a.model), c.endpoint, stage)
	}
}

// noteCrash is called when an endpoint's answer broke off, and reports whether the endpoint
// crashed. An endpoint that was leaving has exited as planned.
func (s *Server) noteCrash(r sentRequest, ep fleet.Endpoint, stage quarantine.Stage) bool {
	group := s.Fleet.View().Group(ep.Service)
	found := exitCheck{why: "leaving or unknown"}
	if group != nil && (group.IsReady(ep.ID) || group.HasLapsed(ep.ID)) {
		found = s.checkExit(ep)
	}
	s.metrics.brokenAnswer(found)
	if found.undecided {
		s.Quarantine.BrokeOff(r.subject, ep, quarantine.VariantOf(r.model, ep.Version), stage)
	}
	if !found.exited {
		s.Log.Info("ingress: answer broke off, endpoint did not crash.", "id", r.id, "fingerprint", r.subject.Request, "endpoint", ep.ID, "stage", stage.String(), "why", found.why)
		return false
	}
	s.Quarantine.Crashed(r.subject, ep.ID, quarantine.VariantOf(r.model, ep.Version), stage)
	s.metrics.crash(stage)
	s.Log.Info("ingress: endpoint crashed under a request.", "id", r.id, "fingerprint", r.subject.Request, "endpoint", ep.ID, "version", ep.Version, "stage", stage.String(),
		"route", r.route, "customer", r.customer, "model", call.Clip(r.model), "parts", r.subject.PartsString(), "why", found.why)
	return true
}

// checkEnd returns an error if an answer that ended with its connection, and says of itself neither its
// length nor its end, may have been cut off: its endpoint has exited, or is not reached.
func (x *exchange) checkEnd(c *upstreamCall) error { return x.server.checkEnd(c.endpoint, c.resp) }

func (s *Server) checkEnd(ep fleet.Endpoint, resp *upstream.Response) error {
	if resp.Framed {
		return nil
	}
	if found := s.checkExit(ep); !found.exited && !found.undecided {
		return nil
	}
	return errCutOff
}

// errCutOff: the endpoint exited as it answered.
var errCutOff = errors.New("answer without a length ended with its endpoint")

// exitCheck is whether an endpoint's process has ended, as far as connections show it.
type exitCheck struct {
	exited bool
	// undecided: nothing shows it yet, as no endpoint accepts connections.
	undecided bool
	why       string // what shows it, for the log
}

// checkExit checks whether an endpoint's process has ended. What this entry's own link shows may be the
// link's fault, unless it reaches other endpoints; else other entries may tell.
func (s *Server) checkExit(ep fleet.Endpoint) exitCheck {
	found, _, _ := s.exits.Do(ep.Address, func() (any, error) { return s.findExited(ep), nil })
	return found.(exitCheck)
}

func (s *Server) findExited(ep fleet.Endpoint) exitCheck {
	refused := s.prober.ExitedBy(ep.Address, s.Egress.DialDirect(ep))
	if _, down := s.Egress.DownSince(ep.Service); !refused && !down {
		return exitCheck{why: "accepts connections or does not answer"}
	}
	if refused && s.Egress.ReachesNow(context.Background(), ep.Service) {
		return exitCheck{exited: true, why: "refuses this entry, others accept"}
	}
	known := false
	refusedElsewhere := s.prober.ExitedBy(ep.Address, func(ctx context.Context, _ string) (net.Conn, error) {
		conn, err := s.Egress.ConnectThroughPeers(ctx, ep)
		known = known || err == nil || errors.Is(err, syscall.ECONNREFUSED)
		return conn, err
	})
	switch {
	case known && refusedElsewhere:
		return exitCheck{exited: true, why: "refuses another entry"}
	case known:
		return exitCheck{why: "accepts another entry"}
	case refused:
		return exitCheck{undecided: true, why: "refuses this entry, which reaches none"}
	}
	return exitCheck{undecided: true, why: "no entry reaches it"}
}

// checkQuarantine refuses a request that crashes endpoints, unless it is sent once as a probe.
func (x *exchange) checkQuarantine() *refusal {
	if x.refusedElsewhere > 0 {
		return refuseQuarantined(x.refusedElsewhere)
	}
	v := x.server.Quarantine.Check(x.subject)
	x.restricted, x.quarantinedFor = v.Restricted, v.RetryAfter
	if !v.Quarantined || x.probe && len(x.attempts) == 0 {
		return nil
	}
	if len(x.attempts) == 0 && x.server.Quarantine.TakeProbe(x.subject) {
		x.probe = true
		return nil
	}
	return refuseQuarantined(v.RetryAfter)
}

// blocked returns a filter for endpoints of variants that the request crashes.
func (x *exchange) blocked() func(fleet.Endpoint) bool {
	if !x.restricted {
		return func(fleet.Endpoint) bool { return false }
	}
	byVersion := map[string]bool{}
	return func(ep fleet.Endpoint) bool {
		is, known := byVersion[ep.Version]
		if !known {
			is = x.server.Quarantine.Blocks(x.subject, quarantine.VariantOf(x.modelOr(x.modelName()), ep.Version))
			byVersion[ep.Version] = is
		}
		return is
	}
}

// variant returns what runs the request at an endpoint.
func (x *exchange) variant(c *upstreamCall) quarantine.Variant {
	return quarantine.VariantOf(x.modelOr(x.attempts[c.attemptIndex].model), c.endpoint.Version)
}

// suspect reports whether endpoints crashed while they had the request, or others with the same
// parts. Such a request is still served, but gets no optional runs (trial copies, larger models).
func (x *exchange) suspect() bool { return x.server.Quarantine.Check(x.subject).Suspect }

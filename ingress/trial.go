package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/upstream"
)

// Limits of the requests that are copied for a version's trial under load: the load
// is to be many concurrent streams, not prompts to read.
const (
	// maxTrialPromptTime is the longest time that an engine may need to read the
	// prompt of a copy. The endpoint's other requests wait as long.
	maxTrialPromptTime = 100 * time.Millisecond
	// minTrialOutput is the least number of generated tokens for which a stream
	// lasts long enough to run concurrently with others.
	minTrialOutput = 64
	// maxTrialDuration bounds the duration of a copy.
	maxTrialDuration = 4 * time.Second
	// trialUrgency ranks copies behind the requests of callers.
	trialUrgency = 9
)

// copyForTrial sends a copy of the request to an endpoint of a new version that
// is to be tried under load, if there is one now. The answer to it is discarded.
// The copy counts as one of the route's attempts, and is cancelled if the caller
// leaves before it has its own answer.
func (x *exchange) copyForTrial(g *fleet.Group) {
	if !x.mayCopy() {
		return
	}
	s := x.server
	trial, ok := s.Rollouts.Trial(g, s.Board.Standing)
	if !ok || x.tried[trial.Endpoint.ID] || s.Board.Resting(trial.Endpoint.ID) > 0 || s.Limits.Wait(trial.Endpoint, ratelimit.LightHeadroom) > 0 ||
		s.SlowStart.Wait(trial.Endpoint, g.Service) > 0 || !s.Budget.Take(x.target(), retry.ForTrial) {
		return
	}
	x.copied = true
	x.runs++
	opts := call.ForwardOptions{Endpoint: trial.Endpoint.Name, Remaining: min(x.remaining(), maxTrialDuration), Model: x.trialModel(), Urgency: trialUrgency, SetUrgency: true}
	if x.customer != nil {
		opts.Customer = x.customer.Name
	}
	req := &upstream.Request{Address: trial.Endpoint.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: s.HeaderCodec.Forward(x.r.Header, opts), Body: x.body, HasBody: x.hasBody}
	sent, lasts := x.sentRequest(opts.Model), opts.Remaining
	req.Connect = func(ctx context.Context, timeout time.Duration) (net.Conn, error) {
		return s.connect(ctx, trial.Endpoint, timeout, egress.Purpose{Request: sent.id, Lasts: lasts, Subject: sent.subject, Variant: quarantine.VariantOf(sent.model, trial.Endpoint.Version)})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), lasts)
	context.AfterFunc(x.r.Context(), func() {
		if !x.answered.Load() {
			cancel()
		}
	})
	go func() {
		defer cancel()
		s.runCopy(ctx, sent, g, trial, req)
	}()
}

// mayCopy reports whether a copy of the request may be sent: it may be repeated, an
// attempt remains in case of a failure, and its answer keeps an endpoint busy. A
// stopping process sends no copies, as they would end with it. A request that may
// have crashed an endpoint is not copied either.
func (x *exchange) mayCopy() bool {
	return !x.copied && !x.suspect() && !x.standing().InExcess && !x.server.Gate.Stopping() && x.route.MayRepeat() && x.runs+2 < x.route.MaxAttempts && x.metadata.ResumeAfter == "" &&
		x.metadata.Usage.Output >= minTrialOutput && x.server.Rates.PrefillTime(x.trialModel(), x.metadata.Usage.Prompt) <= maxTrialPromptTime
}

// trialModel returns the largest of the route's models, which runs the longest.
func (x *exchange) trialModel() string {
	if len(x.route.Models) == 0 || x.metadata.Model != call.AnyModel {
		return ""
	}
	return x.route.Models[len(x.route.Models)-1]
}

func (s *Server) runCopy(ctx context.Context, sent sentRequest, g *fleet.Group, trial rollout.Trial, req *upstream.Request) {
	ep := trial.Endpoint
	if !s.SlowStart.Take(ep, g.Service) || !s.Limits.Take(ctx, ep, ratelimit.LightHeadroom) {
		s.Log.Info("ingress: copy not sent, the endpoint is cold or at its limit.", "id", sent.id, "endpoint", ep.ID, "version", ep.Version)
		return
	}
	taken, ok := s.Concurrency.Take(ctx, ep)
	if !ok {
		s.Log.Info("ingress: copy not sent, the endpoint is brittle and there is no permit.", "id", sent.id, "endpoint", ep.ID, "version", ep.Version)
		return
	}
	defer taken.Release(false)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hold := s.Quarantine.Hold(sent.subject, cancel)
	defer hold.Release()
	variant := quarantine.VariantOf(sent.model, ep.Version)
	if s.Quarantine.Check(sent.subject).Suspect || s.Quarantine.Blocks(sent.subject, variant) {
		return
	}
	begun := s.Clock.Now()
	ticket := s.Board.Begin(ep, 0)
	resp, err := upstream.Send(ctx, req)
	if err != nil {
		ticket.End(s.copyOutcome(sent, ep, err))
		s.noteCopyCrash(ctx, sent, ep, err, quarantine.Waiting)
		s.Log.Info("ingress: copy not answered.", "id", sent.id, "endpoint", ep.ID, "version", ep.Version, "error", err, "ms", s.Clock.Since(begun).Milliseconds())
		return
	}
	defer resp.Close()
	answered := s.Clock.Now()
	head := s.readHead(ep, resp)
	ticket.HeadReceived(head.Load)
	load := call.Load{}
	if head.Load != nil {
		load = *head.Load
	}
	if !head.NotRun && !head.WrongEndpoint {
		s.Rollouts.ObserveTrial(g, trial, load.Running+load.Waiting, head.Status >= http.StatusInternalServerError)
	}
	read, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxCopyBytes))
	if err == nil && read == maxCopyBytes {
		err = &upstream.BoundError{Bound: upstream.CopyBytes}
	}
	if err == nil {
		err = s.checkEnd(ep, resp)
	}
	ticket.End(s.copyOutcome(sent, ep, err))
	stage := quarantine.Started
	if read > 0 {
		stage = quarantine.Running
	}
	s.noteCopyCrash(ctx, sent, ep, err, stage)
	if err == nil && head.Success() && head.Sealed {
		s.Quarantine.Answering(sent.subject, variant, answered)
	}
	s.Log.Info("ingress: copy ended.", "id", sent.id, "endpoint", ep.ID, "version", ep.Version, "status", resp.Status, "not_run", head.NotRun,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "whole", err == nil, "ms", s.Clock.Since(begun).Milliseconds())
}

// noteCopyCrash records that the endpoint of a copy crashed, if it did. It ignores copies
// that this entry cancelled, such as those whose caller left.
func (s *Server) noteCopyCrash(ctx context.Context, sent sentRequest, ep fleet.Endpoint, err error, stage quarantine.Stage) {
	var notSent *upstream.NotSentError
	if err == nil || ctx.Err() != nil || errors.As(err, &notSent) || upstream.BoundOf(err) != "" {
		return
	}
	s.noteCrash(sent, ep, stage)
}

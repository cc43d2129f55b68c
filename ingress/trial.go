package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/upstream"
)

// Which requests are copied for a version's trial under load, and for how
// long: what fills an endpoint is many streams at a time, not prompts to read.
const (
	// trialPrompt is the longest time that an engine may need for the prompt of
	// a copy: it keeps the endpoint's other requests waiting as long.
	trialPrompt = 100 * time.Millisecond
	// trialOutput is the least number of tokens generated for which a stream
	// lasts long enough to run beside others.
	trialOutput = 64
	// trialLongest bounds a copy.
	trialLongest = 4 * time.Second
	// trialUrgency lets callers' requests go first.
	trialUrgency = 9
)

// copyForTrial sends a copy of the request to an endpoint of a new version that
// is to be tried under load, if there is one now. Nobody waits for its answer.
// The copy is one of the runs that the route allows, and ends when the caller
// leaves before it has its own answer.
func (x *exchange) copyForTrial(g *fleet.Group) {
	if !x.mayCopy() {
		return
	}
	s := x.server
	trial, ok := s.Rollouts.Trial(g, s.Board.Standing)
	if !ok || x.tried[trial.Endpoint.ID] || !s.Budget.Take(x.target(), retry.ForTrial) || !s.Limits.Take(trial.Endpoint, ratelimit.LightLeaves) {
		return
	}
	x.copied = true
	x.runs++
	d := call.Directions{Endpoint: trial.Endpoint.Name, Remaining: min(x.left(), trialLongest), Model: x.trialModel(), Urgency: trialUrgency, SetUrgency: true}
	if x.customer != nil {
		d.Customer = x.customer.Name
	}
	req := &upstream.Request{Address: trial.Endpoint.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: s.Wire.Forward(x.r.Header, d), Body: x.body, HasBody: x.hasBody}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), d.Remaining)
	context.AfterFunc(x.r.Context(), func() {
		if !x.answered.Load() {
			cancel()
		}
	})
	id, of := x.facts.ID, x.fingerprint
	go func() {
		defer cancel()
		s.runCopy(ctx, id, of, g, trial, req)
	}()
}

// mayCopy reports whether the request is one to copy: it may be repeated, with
// a run left for a failure, and makes an endpoint busy by its answer. A process
// that stops copies none: the copy would end with it. Nor is one copied that may have
// crashed an endpoint.
func (x *exchange) mayCopy() bool {
	return !x.copied && !x.suspect() && !x.server.Gate.Stopping() && x.route.MayRepeat() && x.runs+2 < x.route.MaxAttempts && x.facts.ResumeAfter == "" &&
		x.facts.Usage.Output >= trialOutput && x.server.Rates.Reading(x.trialModel(), x.facts.Usage.Prompt) <= trialPrompt
}

// trialModel is the largest of the route's models: it runs the longest.
func (x *exchange) trialModel() string {
	if len(x.route.Models) == 0 || x.facts.Model != call.AnyModel {
		return ""
	}
	return x.route.Models[len(x.route.Models)-1]
}

func (s *Server) runCopy(ctx context.Context, id string, of quarantine.Fingerprint, g *fleet.Group, trial rollout.Trial, req *upstream.Request) {
	ep := trial.Endpoint
	begun := s.Clock.Now()
	ticket := s.Board.Begin(ep, 0)
	resp, err := upstream.Send(ctx, req)
	if err != nil {
		ticket.End(place.Abandoned)
		s.noteCopyCrash(ctx, id, of, ep, err, quarantine.Waiting)
		s.Log.Info("ingress: copy not answered.", "id", id, "endpoint", ep.ID, "version", ep.Version, "error", err, "ms", s.Clock.Since(begun).Milliseconds())
		return
	}
	defer resp.Close()
	head := s.Wire.Answer(resp.Status, resp.Header)
	ticket.Head(head.Load)
	load := call.Load{}
	if head.Load != nil {
		load = *head.Load
	}
	if !head.NotRun && !head.WrongEndpoint {
		s.Rollouts.ObserveTrial(g, trial, load.Running+load.Waiting, head.Status >= http.StatusInternalServerError)
	}
	read, err := io.Copy(io.Discard, resp.Body)
	ticket.End(place.Abandoned)
	stage := quarantine.Started
	if read > 0 {
		stage = quarantine.Running
	}
	s.noteCopyCrash(ctx, id, of, ep, err, stage)
	s.Log.Info("ingress: copy ended.", "id", id, "endpoint", ep.ID, "version", ep.Version, "status", resp.Status, "not_run", head.NotRun,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "whole", err == nil, "ms", s.Clock.Since(begun).Milliseconds())
}

// noteCopyCrash notes that a copy broke off, if its endpoint crashed. One whose caller left
// was ended here.
func (s *Server) noteCopyCrash(ctx context.Context, id string, of quarantine.Fingerprint, ep fleet.Endpoint, err error, stage quarantine.Stage) {
	var notSent *upstream.NotSentError
	if err == nil || ctx.Err() != nil || errors.As(err, &notSent) {
		return
	}
	s.noteCrash(id, of, ep, stage)
}

package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/standin/engine"
)

// scoreRater scores answers by model; it is down for a model without a score.
type scoreRater map[string]float64

func (s scoreRater) Rate(_ context.Context, a rater.Answer) (float64, error) {
	v, ok := s[a.Model]
	if !ok {
		return 0, errors.New("rater is down")
	}
	return v, nil
}

// twoStepConfig is a configuration whose cascade "draft" goes from model cheap to
// model costly, each served by one engine.
func twoStepConfig(t *testing.T, cheap, costly engine.Faults) *config.Document {
	v1 := map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}
	doc := &config.Document{
		Models:    map[string]config.Model{"cheap": {CostPerMTok: 1, Versions: v1}, "costly": {CostPerMTok: 10, Versions: v1}},
		Cascades:  map[string]config.Cascade{"draft": {Steps: []config.Step{{Model: "cheap", MinScore: 0.7}, {Model: "costly"}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"draft": {"*"}, "cheap": {"*"}, "costly": {"*"}}}},
		Backends:  map[string]config.Backend{},
	}
	for model, f := range map[string]engine.Faults{"cheap": cheap, "costly": costly} {
		e := engine.New(engine.Settings{Model: model, Version: "v1"}, testDeps(doc, clockwork.NewFakeClock()).Log)
		e.SetFaults(f)
		s := httptest.NewServer(e.Handler())
		t.Cleanup(s.Close)
		doc.Backends[model] = config.Backend{Kind: config.KindEngine, Address: strings.TrimPrefix(s.URL, "http://"), Domain: "fd-1", Model: model, Version: "v1"}
	}
	if fs := config.Validate(doc); len(fs) > 0 {
		t.Fatal(fs)
	}
	return doc
}

func askFor(t *testing.T, srv *httptest.Server, model string, stream bool) reply {
	t.Helper()
	return await(t, askModel(srv, model, stream))
}

// Guards against answers that are incomplete or joined from two models, and
// against bills that miss a step, for each rating and each failing step.
func TestCascade(t *testing.T) {
	ok, failing := engine.Faults{}, engine.Faults{FailEvery: 1}
	for _, tc := range []struct {
		name         string
		rater        scoreRater
		cheap        engine.Faults
		costly       engine.Faults
		status       int
		model, uses  string
		belowQuality bool
	}{
		{"good enough", scoreRater{"cheap": 0.9}, ok, ok, 200, "cheap@v1", "cheap", false},
		{"not good enough", scoreRater{"cheap": 0.3}, ok, ok, 200, "costly@v1", "cheap costly", false},
		{"the rater is down", scoreRater{}, ok, ok, 200, "costly@v1", "cheap costly", false},
		{"the cheap step fails", scoreRater{"cheap": 0.9}, failing, ok, 200, "costly@v1", "costly", false},
		{"the costly step fails", scoreRater{"cheap": 0.3}, ok, failing, 200, "cheap@v1", "cheap", true},
		{"both fail", scoreRater{}, failing, failing, 504, "", "", false},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(tc.name, func(t *testing.T) {
				is := is.New(t)
				d := testDeps(twoStepConfig(t, tc.cheap, tc.costly), clockwork.NewFakeClock())
				d.Rater, d.Planner = tc.rater, cascade.NewPlanner()
				bill := newFakeLedger()
				d.Bill = bill
				a := askFor(t, serveGateway(t, d), "draft", stream)
				is.Equal(a.status, tc.status)
				is.Equal(len(bill.settled), 1) // billed once, however many steps ran
				is.Equal(a.header.Get(openai.HeaderQuality) == openai.QualityBelow, tc.belowQuality)
				is.Equal(bill.models(), tc.uses)
				if tc.status == http.StatusOK {
					is.True(strings.Contains(a.body, tc.model))
					is.Equal(strings.Count(a.body, "-0 "), 1) // one answer, not two concatenated
					is.Equal(strings.Contains(a.body, "[DONE]"), stream)
				}
			})
		}
	}
}

// Guards against a customer being served by a model it may not use (invariant 1).
// The customer may use the cascade and its cheap model only, and the cheap answer
// scores too low; if the cascade's name sufficed, the costly step would run.
func TestCascadeStepStaysInAllowList(t *testing.T) {
	is := is.New(t)
	doc := twoStepConfig(t, engine.Faults{}, engine.Faults{})
	doc.Customers["c"] = config.Customer{APIKeys: []string{"k"}, Allow: map[string][]string{"draft": {"*"}, "cheap": {"*"}}}
	d := testDeps(doc, clockwork.NewFakeClock())
	d.Rater = scoreRater{"cheap": 0.1}
	a := askFor(t, serveGateway(t, d), "draft", true)
	is.Equal(a.status, http.StatusOK)
	is.True(!strings.Contains(a.body, "costly@v1"))
	doc.Customers["c"] = config.Customer{APIKeys: []string{"k"}, Allow: map[string][]string{"cheap": {"*"}}}
	a = askFor(t, serveGateway(t, testDeps(doc, clockwork.NewFakeClock())), "draft", true)
	is.Equal(a.status, http.StatusForbidden) // the cascade itself is not allowed
	doc.Customers["c"] = config.Customer{APIKeys: []string{"other"}}
	a = askFor(t, serveGateway(t, testDeps(doc, clockwork.NewFakeClock())), "draft", true)
	is.Equal(a.status, http.StatusUnauthorized)
}

// countingGuard counts answers and halts nothing.
type countingGuard struct {
	mu        sync.Mutex
	good, bad int
	seen      chan struct{}
}

func (*countingGuard) Halted(string) bool { return false }

func (c *countingGuard) Observe(_ string, bad bool) {
	c.mu.Lock()
	if bad {
		c.bad++
	} else {
		c.good++
	}
	c.mu.Unlock()
	c.seen <- struct{}{}
}

// Guards against a bad version that is never halted because one of the paths does
// not report to the guard (low rating, failure, rater down), and against every
// version being halted eventually because only failures are counted.
func TestGuardObservesEveryAnswer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, tc := range []struct {
		rater  scoreRater
		faults engine.Faults
		bad    int
	}{{scoreRater{"cheap": 0.2}, engine.Faults{}, 1}, {scoreRater{"cheap": 0.9}, engine.Faults{}, 0}, {scoreRater{}, engine.Faults{}, 0}, {scoreRater{}, engine.Faults{FailEvery: 1}, 1}} {
		doc := twoStepConfig(t, tc.faults, engine.Faults{})
		doc.Models["cheap"].Versions["v1"] = config.Version{State: config.StateActive, Weight: 1, Guard: &config.Guard{Baseline: "v0", MinScore: 0.5}}
		d := testDeps(doc, clockwork.NewFakeClock())
		guard := &countingGuard{seen: make(chan struct{}, 4)}
		d.Rater, d.Guard = tc.rater, guard
		g := New(d)
		go g.RunRatings(ctx)
		askFor(t, serve(t, g), "cheap", true)
		<-guard.seen
		is.Equal(guard.bad, tc.bad)
		is.Equal(guard.good, 1-tc.bad)
	}
}

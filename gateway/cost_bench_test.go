package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/standin/engine"
	"github.com/lovageweir/lovageweir/standin/raterd"
)

// target is the score an answer must reach.
const target = 0.7

// skills of the two models; raterd says what they come to.
var skills = map[string]float64{"cheap": 0.4, "costly": 1}

// skilled rates as the rater stand-in does.
type skilled struct{}

func (skilled) Rate(_ context.Context, a rater.Answer) (float64, error) {
	return raterd.Score(a, skills[a.Model]), nil
}

// till adds up what was billed, in the price of the model used.
type till struct {
	prices map[string]config.Model

	mu    sync.Mutex
	cost  float64
	calls int
	last  ledger.Record
}

func (*till) Open(ledger.Record) {}
func (*till) Drop(string)        {}

func (b *till) Settle(_ context.Context, r ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = r
	for _, u := range r.Uses {
		b.calls++
		b.cost += float64(u.Tokens) * b.prices[u.Model].CostPerMTok
	}
}

// workload is the mix of requests of the users' sheets, by prompt bytes and
// answer tokens: weighbridge questions and fault notes, lab explanations,
// dossiers, in a fixed order.
var workload = []struct{ prompt, tokens int }{{600, 24}, {600, 24}, {2500, 294}, {600, 24}, {48000, 384}, {600, 24}, {2500, 294}, {600, 24}, {48000, 384}, {600, 24}}

// BenchmarkCostAtTarget plays the workload through a cascade and its
// baselines: cost per request (in prices of a token), the share of answers
// that reach the target, and model calls per request.
func BenchmarkCostAtTarget(b *testing.B) {
	for _, s := range []struct {
		name, model string
		planner     *cascade.Planner
	}{{"always-cheapest", "cheap", nil}, {"always-costliest", "costly", nil}, {"cascade-every-step", "draft", nil}, {"cascade-planned", "draft", cascade.NewPlanner()}} {
		b.Run(s.name, func(b *testing.B) { playWorkload(b, s.model, s.planner) })
	}
}

func playWorkload(b *testing.B, model string, planner *cascade.Planner) {
	v1 := map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}
	doc := &config.Document{
		Models:    map[string]config.Model{"cheap": {CostPerMTok: 1, Versions: v1}, "costly": {CostPerMTok: 10, Versions: v1}},
		Cascades:  map[string]config.Cascade{"draft": {Steps: []config.Step{{Model: "cheap", MinScore: target}, {Model: "costly"}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"draft": {"*"}, "cheap": {"*"}, "costly": {"*"}}}},
		Backends:  map[string]config.Backend{},
	}
	for m := range doc.Models {
		e := engine.New(engine.Settings{Model: m, Version: "v1", Capacity: 64}, testDeps(doc, clockwork.NewFakeClock()).Log)
		srv := httptest.NewServer(e.Handler())
		defer srv.Close()
		doc.Backends[m] = config.Backend{Kind: config.KindEngine, Address: strings.TrimPrefix(srv.URL, "http://"), Domain: "fd-1", Model: m, Version: "v1"}
	}
	d := testDeps(doc, clockwork.NewRealClock())
	bill := &till{prices: doc.Models}
	d.Rater, d.Planner, d.Bill = skilled{}, planner, bill
	g := New(d)
	met := 0
	for i := range b.N {
		w := workload[i%len(workload)]
		prompt := strings.Repeat("x", w.prompt)
		rec := httptest.NewRecorder()
		c := ginContext(rec, fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, w.tokens, prompt))
		g.admit(g.chat)(c)
		if rec.Code != http.StatusOK {
			b.Fatal(rec.Code, rec.Body)
		}
		used := bill.last.Uses[len(bill.last.Uses)-1].Model
		if raterd.Score(rater.Answer{RequestID: bill.last.RequestID, Prompt: prompt}, skills[used]) >= target {
			met++
		}
	}
	n := float64(b.N)
	b.ReportMetric(bill.cost/n, "cost/req")
	b.ReportMetric(float64(met)/n, "met")
	b.ReportMetric(float64(bill.calls)/n, "calls/req")
}

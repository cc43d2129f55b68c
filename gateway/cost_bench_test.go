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

// targetScore is the score that an answer must reach.
const targetScore = 0.7

// skills are those of the two models; raterd turns them into scores.
var skills = map[string]float64{"cheap": 0.4, "costly": 1}

// skillRater rates like the rater stand-in.
type skillRater struct{}

func (skillRater) Rate(_ context.Context, a rater.Answer) (float64, error) {
	return raterd.Score(a, skills[a.Model]), nil
}

// costMeter sums the billed tokens at the price of the model used.
type costMeter struct {
	prices map[string]config.Model

	mu    sync.Mutex
	cost  float64
	calls int
	last  ledger.Record
}

func (*costMeter) Open(ledger.Record) {}
func (*costMeter) Drop(string)        {}

func (b *costMeter) Settle(_ context.Context, r ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = r
	for _, u := range r.Uses {
		b.calls++
		b.cost += float64(u.Tokens) * b.prices[u.Model].CostPerMTok
	}
}

// workload is the users' mix of requests in a fixed order, by prompt bytes and
// answer tokens: weighbridge questions and fault notes, lab explanations, dossiers.
var workload = []struct{ prompt, tokens int }{{600, 24}, {600, 24}, {2500, 294}, {600, 24}, {48000, 384}, {600, 24}, {2500, 294}, {600, 24}, {48000, 384}, {600, 24}}

// BenchmarkCostAtTarget runs the workload through a cascade and its baselines. It
// reports cost per request (billed tokens times the model's price), the share of
// answers that reach the target score, and model calls per request.
func BenchmarkCostAtTarget(b *testing.B) {
	for _, s := range []struct {
		name, model string
		planner     *cascade.Planner
	}{{"always-cheapest", "cheap", nil}, {"always-costliest", "costly", nil}, {"cascade-every-step", "draft", nil}, {"cascade-planned", "draft", cascade.NewPlanner()}} {
		b.Run(s.name, func(b *testing.B) { runWorkload(b, s.model, s.planner) })
	}
}

func runWorkload(b *testing.B, model string, planner *cascade.Planner) {
	v1 := map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}
	doc := &config.Document{
		Models:    map[string]config.Model{"cheap": {CostPerMTok: 1, Versions: v1}, "costly": {CostPerMTok: 10, Versions: v1}},
		Cascades:  map[string]config.Cascade{"draft": {Steps: []config.Step{{Model: "cheap", MinScore: targetScore}, {Model: "costly"}}}},
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
	bill := &costMeter{prices: doc.Models}
	d.Rater, d.Planner, d.Bill = skillRater{}, planner, bill
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
		if raterd.Score(rater.Answer{RequestID: bill.last.RequestID, Prompt: prompt}, skills[used]) >= targetScore {
			met++
		}
	}
	n := float64(b.N)
	b.ReportMetric(bill.cost/n, "cost/req")
	b.ReportMetric(float64(met)/n, "met")
	b.ReportMetric(float64(bill.calls)/n, "calls/req")
}

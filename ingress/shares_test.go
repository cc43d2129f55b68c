package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/shares"
)

// newShortEnv returns an entry whose service is short of capacity because of a customer that asks for far more than
// another, and ids of requests of that customer in excess of its share and within it.
func newShortEnv(t *testing.T) (w *testEnv, table *shares.Table, inExcess, within string) {
	t.Helper()
	w = newModelsEnv(t, 10)
	table = shares.New(shares.Deps{Clock: clockwork.NewRealClock()})
	w.server.Shares = table
	table.AddDemand(service, "cust", time.Hour)
	table.AddDemand(service, "other", time.Second)
	for range 10 {
		table.ObserveDelay(service, 2, 3*time.Second, 4*time.Second)
	}
	for i := 0; inExcess == "" || within == ""; i++ {
		id := fmt.Sprint("r", i)
		if table.Standing(service, "cust", 2, id).InExcess {
			inExcess = id
		} else {
			within = id
		}
	}
	return w, table, inExcess, within
}

// Guards against a customer's excess taking engines from others: such requests rank last and get no larger model.
func TestExcessRanksLast(t *testing.T) {
	is := is.New(t)
	w, _, inExcess, within := newShortEnv(t)
	var priorities []string
	w.engines[0].FaultOf = func(r *http.Request) platformtest.Fault {
		priorities = append(priorities, r.Header.Get("X-Request-Priority"))
		return platformtest.NoFault
	}
	ask := func(id string) {
		w.do(http.MethodPost, "/sized/stream", "body", "X-Attempt-Id", id, "X-Model", "*", "X-Token-Usage", "100,10").assertCompleteStream(is)
	}
	ask(inExcess)
	is.Equal(modelsRun(w), []string{smallM})
	is.Equal(priorities, []string{"9"})
	is.True(strings.Contains(w.logs.String(), `kept=\"over its share\"`))
	is.True(strings.Contains(w.logs.String(), `"in_excess":true`))
	ask(within)
	is.Equal(priorities[1], "2")
}

// Guards against plain calls of a customer in excess being refused or changed: engines order streams only.
func TestExcessOfPlainCalls(t *testing.T) {
	is := is.New(t)
	w, _, _, _ := newShortEnv(t)
	w.do(http.MethodGet, "/get/x", "").assertComplete(is)
}

// Guards against a busy service in which less urgent requests wait: an urgent one gets its larger model, as its own
// requests do not wait.
func TestUrgentRequestGetsLargerModelUnderShortage(t *testing.T) {
	is := is.New(t)
	w := newModelsEnv(t, 10)
	w.addEngine(platformtest.EngineConfig{ID: "e2", Service: service, Domain: "d1", Version: "v1", Confidence: smallModelConfidence(10)})
	w.sync()
	table := shares.New(shares.Deps{Clock: clockwork.NewRealClock()})
	w.server.Shares = table
	table.Standing(service, "other", 6, "x")
	for range 20 {
		w.server.Board.ObserveWait(service, 4*time.Second)
		table.ObserveDelay(service, 6, 4*time.Second, 8*time.Second)
	}
	large := func() int {
		w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10").assertCompleteStream(is)
		return strings.Count(fmt.Sprint(modelsRun(w)), largeM)
	}
	is.Equal(large(), 1)
	w.server.Shares = nil // decided by the wait of all requests
	is.Equal(large(), 1)
}

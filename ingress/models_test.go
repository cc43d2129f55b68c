package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// modelsRun returns the models that ran, in order.
func modelsRun(w *testEnv) []string {
	var out []string
	for _, r := range w.runs() {
		out = append(out, r.Model)
	}
	return out
}

func smallModelConfidence(confidence int) func(id, model string) int {
	return func(_, model string) int {
		if model == smallM {
			return confidence
		}
		return 90
	}
}

func newModelsEnv(t *testing.T, confidence int) *testEnv {
	t.Helper()
	w := newEnv(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Confidence: smallModelConfidence(confidence)})
	w.sync()
	return w
}

func TestConfidentAnswerOfSmallModelIsKept(t *testing.T) {
	is := is.New(t)
	w := newModelsEnv(t, 95)
	w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10").assertCompleteStream(is)
	is.Equal(modelsRun(w), []string{smallM})
}

func TestLowConfidenceAnswerIsReplacedByLargeModel(t *testing.T) {
	is := is.New(t)
	w := newModelsEnv(t, 10)
	a := w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10")
	a.assertCompleteStream(is)
	is.Equal(modelsRun(w), []string{smallM, largeM})
	is.Equal(a.header.Get("X-Confidence"), "90") // the headers belong to the answer that is returned
}

// A model that the caller names is not replaced, whatever its confidence.
func TestANamedModelIsNotReplaced(t *testing.T) {
	is := is.New(t)
	w := newModelsEnv(t, 10)
	w.do(http.MethodPost, "/sized/stream", "body", "X-Model", smallM, "X-Token-Usage", "100,10").assertCompleteStream(is)
	is.Equal(modelsRun(w), []string{smallM})
}

// Guards against a stream being resumed with another model's output: the large model's
// stream breaks off after the small one's answer was dropped.
func TestAResumedStreamKeepsItsModel(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 0)
	for _, id := range []string{"e1", "e2"} {
		w.addEngine(platformtest.EngineConfig{ID: id, Service: service, Domain: "d1", Version: "v1", Confidence: smallModelConfidence(10)})
	}
	w.sync()
	w.faults(platformtest.NoFault, platformtest.ResetMiddle)
	w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10").assertCompleteStream(is)
	models := modelsRun(w)
	is.Equal(len(models), 3)
	large := 0
	for _, m := range models {
		if m == largeM {
			large++
		}
	}
	is.Equal(large, 2)
}

// Guards against an engine that reads a long prompt losing its streams because silence
// is taken for a crash: it sends nothing for longer than silentAfter, but still accepts
// connections.
func TestASilentEngineThatAcceptsConnectionsKeepsItsRequests(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1",
		PrefillTime: map[string]time.Duration{largeM: 1500 * time.Millisecond}})
	w.sync()
	w.do(http.MethodPost, "/resume/stream", "body", "X-Model", largeM, "X-Token-Usage", "1000,10").assertCompleteStream(is)
	is.Equal(len(w.runs()), 1)
}

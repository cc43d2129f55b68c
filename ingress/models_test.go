package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// modelsOf are the models that ran, in order.
func modelsOf(w *world) []string {
	var out []string
	for _, r := range w.runs() {
		out = append(out, r.Model)
	}
	return out
}

func doubting(confidence int) func(id, model string) int {
	return func(_, model string) int {
		if model == smallM {
			return confidence
		}
		return 90
	}
}

func newSizedWorld(t *testing.T, confidence int) *world {
	t.Helper()
	w := newWorld(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Confidence: doubting(confidence)})
	w.sync()
	return w
}

func TestASureAnswerOfTheSmallModelStands(t *testing.T) {
	is := is.New(t)
	w := newSizedWorld(t, 95)
	w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10").wholeStream(is)
	is.Equal(modelsOf(w), []string{smallM})
}

func TestADoubtedAnswerIsDroppedForTheLargeModels(t *testing.T) {
	is := is.New(t)
	w := newSizedWorld(t, 10)
	a := w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10")
	a.wholeStream(is)
	is.Equal(modelsOf(w), []string{smallM, largeM})
	is.Equal(a.header.Get("X-Confidence"), "90") // the head is of the answer that is returned
}

// A model that the caller names is the caller's choice.
func TestANamedModelIsNotReplaced(t *testing.T) {
	is := is.New(t)
	w := newSizedWorld(t, 10)
	w.do(http.MethodPost, "/sized/stream", "body", "X-Model", smallM, "X-Token-Usage", "100,10").wholeStream(is)
	is.Equal(modelsOf(w), []string{smallM})
}

// Symptom: a stream resumed elsewhere goes on with another model's words.
// Events: the large model's stream breaks off after the small one's answer was
// dropped.
func TestAResumedStreamKeepsItsModel(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	for _, id := range []string{"e1", "e2"} {
		w.addEngine(platformtest.EngineConfig{ID: id, Service: service, Domain: "d1", Version: "v1", Confidence: doubting(10)})
	}
	w.sync()
	w.faults(platformtest.NoFault, platformtest.ResetMiddle)
	w.do(http.MethodPost, "/sized/stream", "body", "X-Model", "*", "X-Token-Usage", "100,10").wholeStream(is)
	models := modelsOf(w)
	is.Equal(len(models), 3)
	large := 0
	for _, m := range models {
		if m == largeM {
			large++
		}
	}
	is.Equal(large, 2)
}

// Symptom: an engine that reads a long prompt loses its streams.
// Events: nothing comes from it for longer than the silence that is checked;
// it still accepts connections.
// Cause: silence taken for death.
func TestASilentEngineThatAcceptsConnectionsKeepsItsRequests(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1",
		ReadingRate: map[string]time.Duration{largeM: 1500 * time.Millisecond}})
	w.sync()
	w.do(http.MethodPost, "/resume/stream", "body", "X-Model", largeM, "X-Token-Usage", "1000,10").wholeStream(is)
	is.Equal(len(w.runs()), 1)
}

package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Guards against idle endpoints being used alike however long work takes there, and against log lines
// that do not tell why an endpoint was chosen.
func TestSlowEndpointGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Slots: 16, Work: 42 * time.Millisecond, SlowdownPercent: 425})
	quick := w.addEngine(platformtest.EngineConfig{ID: "e2", Service: service, Domain: "d1", Version: "v1", Slots: 16, Work: 7 * time.Millisecond, SlowdownPercent: 70})
	w.sync()
	const requests = 40
	for i := range requests {
		got := w.do(http.MethodGet, "/get/x", "", "X-Attempt-Id", fmt.Sprint("r", i))
		is.Equal(got.status, http.StatusOK)
	}
	is.True(len(quick.Runs()) >= requests*4/5)
	is.True(strings.Contains(w.logs.String(), "factor=0.70"))
}

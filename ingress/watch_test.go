package ingress

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against requests failing that were about to be answered, when endpoints are
// late with everything: a call exceeds its limit and is cancelled to be sent elsewhere,
// and then the retry budget is used up. A call is cancelled only after its retry was
// taken from the budget.
func TestLateCallIsCancelledOnlyIfItCanBeRetried(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	budget, ended := false, false
	w := &watchdog{server: &Server{Deps: Deps{Clock: clock}}, limits: watchLimits{answer: time.Second}, begun: clock.Now(),
		cancel: func() { ended = true }, reserveRetry: func() bool { return budget }}
	clock.Advance(2 * time.Second)
	w.check()
	is.True(!ended)
	is.Equal(w.cause(), "")
	is.True(!w.hasReservedRetry())
	budget = true
	w.check()
	is.True(ended)
	is.Equal(w.cause(), "no answer in time")
	is.True(w.hasReservedRetry())
}

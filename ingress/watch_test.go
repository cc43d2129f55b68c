package ingress

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Symptom: when endpoints are late with everything, requests fail that were
// about to be answered.
// Events: a call passes its limit; it is ended to be sent elsewhere, and then
// the budget of repeats turns out to be used up.
// A call is ended only once its repeat is paid for; until then it may be
// answered.
func TestALateCallIsEndedOnlyIfItCanBeRepeated(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	budget, ended := false, false
	w := &watchdog{server: &Server{Deps: Deps{Clock: clock}}, limits: watchLimits{answer: time.Second}, begun: clock.Now(),
		cancel: func() { ended = true }, pay: func() bool { return budget }}
	clock.Advance(2 * time.Second)
	w.look()
	is.True(!ended)
	is.Equal(w.why(), "")
	is.True(!w.paidFor())
	budget = true
	w.look()
	is.True(ended)
	is.Equal(w.why(), "no answer in time")
	is.True(w.paidFor())
}

package retry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against larger models of less urgent requests using up the budget while capacity is short: failures come first,
// then larger models of urgent requests, and without shortage all is as before.
func TestOrderUnderShortage(t *testing.T) {
	is := is.New(t)
	take := func(p Purpose) (n int) {
		b := New(Bounds{Ratio: 0, Extra: 100, Window: 10 * time.Second}, func() int { return 1 }, clockwork.NewFakeClock())
		for b.Take("svc", p) {
			n++
		}
		return n
	}
	is.Equal(QualityUnder(0), ForQuality)
	is.True(QualityUnder(1).quality() && !ForFailure.quality() && !ForTrial.quality())
	failure, urgent, other, trial := take(ForFailure), take(QualityUnder(0.2)), take(QualityUnder(1)), take(ForTrial)
	is.True(failure > urgent)
	is.True(urgent > other)
	is.True(other > trial)
}

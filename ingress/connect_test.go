package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/upstream"
)

// Symptom: short calls are late while a failure domain is cut off.
// Events: the endpoint chosen accepts no connection; the call goes to another
// after the time-out. Played: the callers' time for one such endpoint and a
// usual answer of the next, which must be within the objective.
func TestAShortCallHasTimeForASecondEndpoint(t *testing.T) {
	const usual = 30 * time.Millisecond // an answer, with its way there and back
	for _, tt := range []struct {
		kind      fleet.Kind
		objective time.Duration
		within    time.Duration
	}{
		{fleet.NonIdempotent, 100 * time.Millisecond, 60 * time.Millisecond},
		{fleet.Idempotent, 150 * time.Millisecond, 75 * time.Millisecond},
		{fleet.Idempotent, time.Second, 500 * time.Millisecond}, // the usual bound is lower
		{fleet.Streaming, 100 * time.Millisecond, upstream.DialTimeout},
		{fleet.Idempotent, 0, upstream.DialTimeout}, // none is known
	} {
		is := is.New(t)
		x := &exchange{route: &fleet.Route{Kind: tt.kind, Objective: tt.objective}}
		is.Equal(x.connectWithin(), tt.within)
		if tt.kind != fleet.Streaming && tt.objective > 0 {
			is.True(min(x.connectWithin(), upstream.DialTimeout)+usual < tt.objective)
		}
	}
}

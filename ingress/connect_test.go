package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/upstream"
)

// Guards against short calls being late while a failure domain is partitioned: the
// chosen endpoint accepts no connection, and the call goes to another one after the
// time-out. The time-out and a usual answer of the next endpoint must together be
// within the objective.
func TestAShortCallHasTimeForASecondEndpoint(t *testing.T) {
	const usual = 30 * time.Millisecond // an answer, including the round trip
	for _, tt := range []struct {
		kind      fleet.Kind
		objective time.Duration
		within    time.Duration
	}{
		{fleet.NonIdempotent, 100 * time.Millisecond, 60 * time.Millisecond},
		{fleet.Idempotent, 150 * time.Millisecond, 75 * time.Millisecond},
		{fleet.Idempotent, time.Second, 500 * time.Millisecond}, // DialTimeout is lower
		{fleet.Streaming, 100 * time.Millisecond, upstream.DialTimeout},
		{fleet.Idempotent, 0, upstream.DialTimeout}, // without an objective
	} {
		is := is.New(t)
		x := &exchange{route: &fleet.Route{Kind: tt.kind, Objective: tt.objective}}
		is.Equal(x.connectTimeout(), tt.within)
		if tt.kind != fleet.Streaming && tt.objective > 0 {
			is.True(min(x.connectTimeout(), upstream.DialTimeout)+usual < tt.objective)
		}
	}
}

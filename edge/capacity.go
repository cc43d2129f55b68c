package edge

import (
	"log/slog"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/capacity"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/place"
)

func newCapacity(clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *capacity.Table {
	return capacity.New(capacity.Deps{Clock: clock, Log: log, Scope: m.Scope.SubScope("capacity")})
}

func newBoard(t *capacity.Table, clock clockwork.Clock) *place.Board {
	b := place.NewBoard(clock)
	b.SetCapacity(t)
	return b
}

package edge

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/internal/background"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/overload"
)

// runLateness reports how late the entry is, and how long packets wait for its link.
func runLateness(lc fx.Lifecycle, m *telemetry.Metrics, d *overload.Detector) {
	background.Run(lc, background.Every(time.Second, func(context.Context) {
		m.Scope.Gauge("late_seconds").Update(d.Lateness().Seconds())
		m.Scope.Gauge("link_wait_seconds").Update(d.LinkWait().Seconds())
	}), nil)
}

// Package telemetry provides a daemon's metrics: a tally scope and the HTTP
// handler that exposes it.
package telemetry

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
)

// Metrics holds a daemon's counters and histograms.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves the metrics in the Prometheus text format
}

// New returns metrics that are reported to the handler at each interval until
// the daemon stops.
func New(lc fx.Lifecycle, interval time.Duration) *Metrics {
	r := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "lovageweir", CachedReporter: r, Separator: promreporter.DefaultSeparator,
		// tally's own cardinality gauges use dotted names that Prometheus rejects.
		OmitCardinalityMetrics: true}, interval)
	lc.Append(fx.StopHook(closer.Close))
	return &Metrics{Scope: scope, Handler: r.HTTPHandler()}
}

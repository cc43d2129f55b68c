package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// Interval is the period at which reports are compared with the configuration.
	Interval = 3 * time.Second
	// reorderDelay is the minimum time between two orders to an engine: loading
	// takes time, and the weight store is rate-limited.
	reorderDelay    = 15 * time.Second
	orderTimeout    = 2 * time.Second
	idleConnTimeout = 10 * time.Second
	maxHeaderBytes  = 16 << 10
	// maxOrdersPerRound limits the orders of one round, so that a change for a
	// whole pool neither empties it at once nor overloads the weight store.
	maxOrdersPerRound = 2
)

// Duty renews the duty and reports whether this entry holds it; duty.Duty implements
// it.
type Duty interface {
	Renew(ctx context.Context) error
	Held() (fence kv.Revision, ok bool)
}

// Reports holds the engines' latest reports; endpoints.Table implements it. Loaded
// returns the model@version that an engine reported as loaded, or "" if there is no
// recent report.
type Reports interface {
	Loaded(backend string) string
}

// Reconciler keeps the engines of one failure domain at their configured versions.
type Reconciler struct {
	duty     Duty
	eligible func() bool // reports whether this entry should try to acquire the duty
	table    func() *route.Table
	reports  Reports
	domain   string
	clock    clockwork.Clock
	log      *slog.Logger
	hc       *http.Client

	lastOrdered map[string]time.Time // only accessed by the goroutine that calls Reconcile
}

// New returns a reconciler for domain. eligible reports whether this entry should
// try to acquire the duty.
func New(d Duty, eligible func() bool, table func() *route.Table, reports Reports, domain string, clock clockwork.Clock, log *slog.Logger) *Reconciler {
	return &Reconciler{duty: d, eligible: eligible, table: table, reports: reports, domain: domain, clock: clock, log: log,
		hc: newOrderClient(), lastOrdered: map[string]time.Time{}}
}

func newOrderClient() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes}
	return &http.Client{Transport: upstream.ValidateAnswers(t), Timeout: orderTimeout} // bodies are not read
}

// Reconcile renews the duty and, if it is held, sends the orders that are due.
func (r *Reconciler) Reconcile(ctx context.Context) {
	if _, held := r.duty.Held(); !held && !r.eligible() {
		return
	}
	if err := r.duty.Renew(ctx); err != nil {
		r.log.Warn("orders: duty not renewed.", "error", err)
	}
	t := r.table()
	if t == nil {
		return
	}
	sent := 0
	for _, b := range t.Engines(r.domain) {
		loaded := r.reports.Loaded(b.Name)
		if loaded == "" || loaded == b.Serves() || r.clock.Now().Sub(r.lastOrdered[b.Name]) < reorderDelay {
			continue
		}
		fence, held := r.duty.Held() // checked before each order, not once per round
		if !held || sent >= maxOrdersPerRound {
			return
		}
		sent++
		r.lastOrdered[b.Name] = r.clock.Now()
		if err := r.send(ctx, b, fence); err != nil {
			r.log.Warn("orders: order to the engine failed.", "backend", b.Name, "load", b.Serves(), "error", err)
			continue
		}
		r.log.Info("orders: engine ordered to load.", "backend", b.Name, "loaded", loaded, "load", b.Serves(), "fence", fence)
	}
}

func (r *Reconciler) send(ctx context.Context, b route.BackendInfo, fence kv.Revision) error {
	body, err := json.Marshal(openai.Order{Fence: int64(fence), Action: openai.OrderLoad, Model: b.Model, Version: b.Version})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address+openai.PathOrders, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := r.hc.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("engine answered %d", resp.StatusCode)
	}
	return nil
}

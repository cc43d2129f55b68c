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
)

// Bounds of ordering.
const (
	// Interval is how often reports are compared with the configuration.
	Interval = 3 * time.Second
	// again is how long an engine is left alone after an order: loading takes
	// time, and the weight store limits its rate.
	again     = 15 * time.Second
	orderWait = 2 * time.Second
	// perRound bounds the orders of one round, so that a change for a whole
	// pool does not empty it at once nor storm the weight store.
	perRound = 2
)

// Duty tells whether this entry holds the duty; duty.Duty implements it.
type Duty interface {
	Renew(ctx context.Context) error
	Held() (fence kv.Revision, ok bool)
}

// Reports gives what an engine last said it has loaded ("" when there is no
// recent report); endpoints.Table implements it.
type Reports interface {
	Loaded(backend string) string
}

// Keeper keeps the engines of one domain at their versions.
type Keeper struct {
	duty    Duty
	mine    func() bool // whether this entry should try for the duty
	tables  func() *route.Table
	reports Reports
	domain  string
	clock   clockwork.Clock
	log     *slog.Logger
	hc      *http.Client

	ordered map[string]time.Time // owned by the one loop that calls Round
}

// New returns a keeper for domain.
func New(d Duty, mine func() bool, tables func() *route.Table, reports Reports, domain string, clock clockwork.Clock, log *slog.Logger) *Keeper {
	return &Keeper{duty: d, mine: mine, tables: tables, reports: reports, domain: domain, clock: clock, log: log,
		hc: &http.Client{Timeout: orderWait}, ordered: map[string]time.Time{}}
}

// Round renews the duty and, if it is held, sends what orders are due.
func (k *Keeper) Round(ctx context.Context) {
	if _, held := k.duty.Held(); !held && !k.mine() {
		return
	}
	if err := k.duty.Renew(ctx); err != nil {
		k.log.Warn("orders: duty not renewed.", "error", err)
	}
	t := k.tables()
	if t == nil {
		return
	}
	sent := 0
	for _, b := range t.Engines(k.domain) {
		loaded := k.reports.Loaded(b.Name)
		if loaded == "" || loaded == b.Serves() || k.clock.Now().Sub(k.ordered[b.Name]) < again {
			continue
		}
		fence, held := k.duty.Held() // asked before each order, not once a round
		if !held || sent >= perRound {
			return
		}
		sent++
		k.ordered[b.Name] = k.clock.Now()
		if err := k.send(ctx, b, fence); err != nil {
			k.log.Warn("orders: engine did not take the order.", "backend", b.Name, "load", b.Serves(), "error", err)
			continue
		}
		k.log.Info("orders: engine ordered to load.", "backend", b.Name, "loaded", loaded, "load", b.Serves(), "fence", fence)
	}
}

func (k *Keeper) send(ctx context.Context, b route.BackendInfo, fence kv.Revision) error {
	body, err := json.Marshal(openai.Order{Fence: int64(fence), Action: openai.OrderLoad, Model: b.Model, Version: b.Version})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address+openai.PathOrders, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := k.hc.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("engine answered %d", resp.StatusCode)
	}
	return nil
}

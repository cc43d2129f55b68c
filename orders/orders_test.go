package orders

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/duty"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/standin/engine"
)

// engineReports reports what its engine has loaded.
type engineReports struct{ e *engine.Engine }

func (r engineReports) Loaded(string) string { return r.e.State().Loaded }

// tableFor configures the engine at addr to serve version.
func tableFor(addr, version string) func() *route.Table {
	t := route.NewTable(1, &config.Document{Backends: map[string]config.Backend{
		"e": {Kind: config.KindEngine, Address: addr, Domain: "fd-1", Model: "m", Version: version}}})
	return func() *route.Table { return t }
}

func always() bool { return true }

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// staleHolder is a duty whose holder does not notice that it lost it. This is the
// worst case: an order was already under way when the holder was paused.
type staleHolder struct {
	*duty.Duty
	fence kv.Revision
}

func (h staleHolder) Renew(context.Context) error { return nil }
func (h staleHolder) Held() (kv.Revision, bool)   { return h.fence, true }

// TestOrderOfAPausedHolder covers invariant 2. It guards against an engine going back
// to a withdrawn version: a holder is paused with an order to load v1 under way and
// loses the duty, the new holder has v2 loaded, and then the old order arrives. An
// engine that checks fencing tokens refuses it; one that does not obeys it, and the
// new holder corrects it after the engine's next report.
func TestOrderOfAPausedHolder(t *testing.T) {
	for _, ignoresFencing := range []bool{false, true} {
		is := is.New(t)
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		store := memkv.New(fc)
		e := engine.New(engine.Settings{Model: "m", Version: "v0", IgnoreFencing: ignoresFencing}, discardLog)
		srv := httptest.NewServer(e.Handler())
		defer srv.Close()
		addr := strings.TrimPrefix(srv.URL, "http://")

		first, second := duty.New(store, "orders/fd-1", "a", fc), duty.New(store, "orders/fd-1", "b", fc)
		is.NoErr(first.Renew(ctx))
		oldFence, _ := first.Held()
		fc.Advance(duty.TTL + time.Second)
		current := New(second, always, tableFor(addr, "v2"), engineReports{e}, "fd-1", fc, discardLog)
		current.Reconcile(ctx)
		is.Equal(e.State().Loaded, "m@v2")

		New(staleHolder{first, oldFence}, always, tableFor(addr, "v1"), engineReports{e}, "fd-1", fc, discardLog).Reconcile(ctx)
		is.Equal(e.State().Loaded == "m@v1", ignoresFencing)
		is.Equal(e.State().StaleOrders == 1, !ignoresFencing)

		fc.Advance(duty.TTL / 3)
		current.Reconcile(ctx)
		fc.Advance(reorderDelay)
		current.Reconcile(ctx) // renews or reacquires the duty
		current.Reconcile(ctx)
		is.Equal(e.State().Loaded, "m@v2")
	}
}

// TestPausedHolderSendsNothing covers the same pause with no order under way: by its
// own clock the old holder no longer holds the duty, so it must send nothing.
func TestPausedHolderSendsNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	store := memkv.New(fc)
	e := engine.New(engine.Settings{Model: "m", Version: "v2"}, discardLog)
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	first, second := duty.New(store, "orders/fd-1", "a", fc), duty.New(store, "orders/fd-1", "b", fc)
	is.NoErr(first.Renew(ctx))
	fc.Advance(duty.TTL + time.Second)
	is.NoErr(second.Renew(ctx))
	New(first, always, tableFor(strings.TrimPrefix(srv.URL, "http://"), "v1"), engineReports{e}, "fd-1", fc, discardLog).Reconcile(ctx)
	is.Equal(e.State().Loaded, "m@v2")
	is.Equal(e.State().Fence, int64(0)) // no order arrived
}

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

// direct reads what the one engine has loaded.
type direct struct{ e *engine.Engine }

func (d direct) Loaded(string) string { return d.e.State().Loaded }

// tableFor configures the engine at addr to serve version.
func tableFor(addr, version string) func() *route.Table {
	t := route.NewTable(1, &config.Document{Backends: map[string]config.Backend{
		"e": {Kind: config.KindEngine, Address: addr, Domain: "fd-1", Model: "m", Version: version}}})
	return func() *route.Table { return t }
}

func yes() bool { return true }

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// late is a duty whose holder does not notice that its time is over: the
// worst case, an order already under way when the holder was paused.
type late struct {
	*duty.Duty
	fence kv.Revision
}

func (l late) Renew(context.Context) error { return nil }
func (l late) Held() (kv.Revision, bool)   { return l.fence, true }

// TestOrderOfAPausedHolder: invariant 2. Symptom: an engine goes back to a
// withdrawn version. Sequence: a holder is paused with an order to load v1
// under way, loses the duty, the new holder has v2 loaded, the old order
// arrives. An engine that checks fencing numbers refuses it; one that does
// not obeys, and the holder puts it right after its next report.
func TestOrderOfAPausedHolder(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		is := is.New(t)
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		store := memkv.New(fc)
		e := engine.New(engine.Settings{Model: "m", Version: "v0", IgnoreFencing: ignores}, quiet)
		srv := httptest.NewServer(e.Handler())
		defer srv.Close()
		addr := strings.TrimPrefix(srv.URL, "http://")

		first, second := duty.New(store, "orders/fd-1", "a", fc), duty.New(store, "orders/fd-1", "b", fc)
		is.NoErr(first.Renew(ctx))
		oldFence, _ := first.Held()
		fc.Advance(duty.TTL + time.Second)
		newer := New(second, yes, tableFor(addr, "v2"), direct{e}, "fd-1", fc, quiet)
		newer.Round(ctx)
		is.Equal(e.State().Loaded, "m@v2")

		New(late{first, oldFence}, yes, tableFor(addr, "v1"), direct{e}, "fd-1", fc, quiet).Round(ctx)
		is.Equal(e.State().Loaded == "m@v1", ignores)
		is.Equal(e.State().Stale == 1, !ignores)

		fc.Advance(duty.TTL / 3)
		newer.Round(ctx)
		fc.Advance(again)
		newer.Round(ctx) // renews, or takes the duty again
		newer.Round(ctx)
		is.Equal(e.State().Loaded, "m@v2")
	}
}

// TestPausedHolderSendsNothing: the same pause where nothing was under way:
// by its own clock the old holder no longer holds the duty.
func TestPausedHolderSendsNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	store := memkv.New(fc)
	e := engine.New(engine.Settings{Model: "m", Version: "v2"}, quiet)
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	first, second := duty.New(store, "orders/fd-1", "a", fc), duty.New(store, "orders/fd-1", "b", fc)
	is.NoErr(first.Renew(ctx))
	fc.Advance(duty.TTL + time.Second)
	is.NoErr(second.Renew(ctx))
	New(first, yes, tableFor(strings.TrimPrefix(srv.URL, "http://"), "v1"), direct{e}, "fd-1", fc, quiet).Round(ctx)
	is.Equal(e.State().Loaded, "m@v2")
	is.Equal(e.State().Fence, int64(0)) // no order came
}

package apply

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/synth"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/standin/kvserver"
)

func newKV(t *testing.T) (*kvserver.Server, *etcdv3.Client) {
	srv := kvserver.New(clockwork.NewFakeClock())
	httpSrv := httptest.NewServer(srv.Handler())
	t.Cleanup(httpSrv.Close)
	return srv, etcdv3.New(httpSrv.URL, nil)
}

func doc(customers int) *config.Document {
	return synth.Document(synth.Size{Customers: customers, Models: 1, VersionsPerModel: 1, Backends: 1, Domains: 1})
}

// Guards against a change that is applied twice, or reported as failed while it is
// in force, when the KV applies the compare-and-swap and its acknowledgement is
// lost. A blind retry would be reported as a conflict, as the command's own write
// moved the revision, and an unconditional put would write again. Reading the key
// again finds the command's own apply id.
func TestLostAckIsRecognised(t *testing.T) {
	is := is.New(t)
	srv, c := newKV(t)
	ctx := context.Background()
	// Every write is applied but its acknowledgement is lost; reads still work.
	srv.SetFaults(kvserver.Faults{DropAcks: true})
	res, err := Apply(ctx, c, doc(1), 0, "op")
	is.NoErr(err)
	is.True(res.Recovered)
	is.Equal(res.Revision, kv.Revision(1))           // the write is in force
	is.Equal(srv.Store().Revision(), kv.Revision(1)) // one write, not two
}

// Guards against an accepted change that is silently lost when two operators read
// revision R and both apply. With a plain put the later write would overwrite the
// earlier one unnoticed. With a compare-and-swap on R exactly one succeeds, and the
// other gets ErrConflict.
func TestRacingOperatorsDoNotOverwrite(t *testing.T) {
	is := is.New(t)
	srv, c := newKV(t)
	ctx := context.Background()
	first, err := Apply(ctx, c, doc(1), 0, "setup")
	is.NoErr(err)
	_, err = Apply(ctx, c, doc(2), first.Revision, "alice")
	is.NoErr(err)
	_, err = Apply(ctx, c, doc(3), first.Revision, "bob") // based on the same revision, which is now stale
	is.True(errors.Is(err, ErrConflict))
	_, kvs, err := c.Get(ctx, config.Key, false)
	is.NoErr(err)
	env, err := config.Unmarshal(kvs[0].Value)
	is.NoErr(err)
	is.Equal(env.AppliedBy, "alice")
	is.Equal(srv.Store().Revision(), kv.Revision(2))
}

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

func standin(t *testing.T) (*kvserver.Server, *etcdv3.Client) {
	srv := kvserver.New(clockwork.NewFakeClock())
	hs := httptest.NewServer(srv.Handler())
	t.Cleanup(hs.Close)
	return srv, etcdv3.New(hs.URL, nil)
}

func doc(customers int) *config.Document {
	return synth.Document(synth.Size{Customers: customers, Models: 1, VersionsPerModel: 1, Backends: 1, Domains: 1})
}

// TestLostAckIsRecognised: symptom: an operator's change is applied twice,
// or the operator is told it failed when it is in force. Sequence: apply
// sends the compare-and-swap; the KV applies it and the answer is lost.
// Cause, in a client that retries blindly: the retry's compare fails
// (the revision moved, by our own write) and is reported as a conflict, or
// an unconditional put writes again. Here the re-read finds our apply id.
func TestLostAckIsRecognised(t *testing.T) {
	is := is.New(t)
	srv, c := standin(t)
	ctx := context.Background()
	// Every write lands and every write's answer is lost; reads still work.
	srv.SetFaults(kvserver.Faults{DropAcks: true})
	res, err := Apply(ctx, c, doc(1), 0, "op")
	is.NoErr(err)
	is.True(res.Recovered)
	is.Equal(res.Revision, kv.Revision(1))           // our write is in force
	is.Equal(srv.Store().Revision(), kv.Revision(1)) // one write, not two
}

// TestRacingOperatorsDoNotOverwrite: symptom: one operator's accepted
// change silently disappears. Sequence: two operators read revision R and
// both apply. Cause, with a plain put: the later write overwrites the
// earlier one unseen. Here each write is a compare-and-swap on R, so
// exactly one wins and the other is told to look at the newer one.
func TestRacingOperatorsDoNotOverwrite(t *testing.T) {
	is := is.New(t)
	srv, c := standin(t)
	ctx := context.Background()
	first, err := Apply(ctx, c, doc(1), 0, "setup")
	is.NoErr(err)
	_, err = Apply(ctx, c, doc(2), first.Revision, "alice")
	is.NoErr(err)
	_, err = Apply(ctx, c, doc(3), first.Revision, "bob") // based on the same, now old, revision
	is.True(errors.Is(err, ErrConflict))
	_, kvs, err := c.Get(ctx, config.Key, false)
	is.NoErr(err)
	env, err := config.Unmarshal(kvs[0].Value)
	is.NoErr(err)
	is.Equal(env.AppliedBy, "alice")
	is.Equal(srv.Store().Revision(), kv.Revision(2))
}

package configwatch

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/config"
	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/internal/synth"
	"github.com/lovageweir/lovageweir/kv"
)

func marshalEnvelope(t *rapid.T, applyID string) []byte {
	env := config.Envelope{ApplyID: applyID, AppliedAt: time.Unix(0, 0), Document: *synth.Document(synth.Size{Customers: 1, Models: 1, VersionsPerModel: 1, Backends: 1, Domains: 1})}
	b, err := env.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestPropertyConfigNeverReverts (invariant 10) guards against an entry that
// returns to an older configuration, which would bring back a withdrawn version.
// Revisions arrive late, repeated and out of order from the KV's watch, its
// reads and from peers; a watcher that takes the last one to arrive would revert.
// The current revision must always be the highest valid one offered so far.
func TestPropertyConfigNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(nil, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		revs := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 40).Draw(t, "revisions")
		var highest, last kv.Revision
		for i, r := range revs {
			valid := rapid.IntRange(0, 5).Draw(t, "valid") > 0
			value := marshalEnvelope(t, "ok")
			if !valid {
				value = []byte("{not json")
			}
			w.Offer(kv.Revision(r), value)
			if valid && kv.Revision(r) > highest {
				highest = kv.Revision(r)
			}
			got := w.Table()
			if highest == 0 {
				if got != nil {
					t.Fatalf("step %d: a table is current though no valid configuration was offered", i)
				}
				continue
			}
			if got.Revision < last {
				t.Fatalf("step %d: revision decreased from %d to %d", i, last, got.Revision)
			}
			if got.Revision != highest {
				t.Fatalf("step %d: current revision is %d, highest valid revision offered is %d", i, got.Revision, highest)
			}
			last = got.Revision
		}
	})
}

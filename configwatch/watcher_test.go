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

func stored(t *rapid.T, applyID string) []byte {
	env := config.Envelope{ApplyID: applyID, AppliedAt: time.Unix(0, 0), Document: *synth.Document(synth.Size{Customers: 1, Models: 1, VersionsPerModel: 1, Backends: 1, Domains: 1})}
	b, err := env.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestPropertyConfigNeverReverts: invariant 10. Symptom: an entry serves an
// older configuration after a newer one was in force (a withdrawn version
// comes back). Sequence: answers carrying revisions arrive late, repeated
// and out of order, from the KV's watch, its re-reads and from peers.
// Cause, in a watcher that takes whatever arrives last: the older answer
// wins. Here a revision is taken only when newer than the one in force, so
// the revision in force only rises and always equals the highest valid
// revision offered so far.
func TestPropertyConfigNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(nil, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		revs := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 40).Draw(t, "revisions")
		var highest, last kv.Revision
		for i, r := range revs {
			valid := rapid.IntRange(0, 5).Draw(t, "valid") > 0
			value := stored(t, "ok")
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
					t.Fatalf("step %d: a table is in force though nothing valid was offered", i)
				}
				continue
			}
			if got.Revision < last {
				t.Fatalf("step %d: revision went back from %d to %d", i, last, got.Revision)
			}
			if got.Revision != highest {
				t.Fatalf("step %d: revision in force %d, highest valid offered %d", i, got.Revision, highest)
			}
			last = got.Revision
		}
	})
}

package configwatch

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/synth"
	"github.com/lovageweir/lovageweir/kv"
)

// FuzzOffer checks that no bytes offered as a stored configuration (a corrupt KV
// value or peer response) crash an entry, and that a table becomes current only
// from a valid document.
func FuzzOffer(f *testing.F) {
	env := config.Envelope{ApplyID: "seed", AppliedAt: time.Unix(0, 0), Document: *synth.Document(synth.Size{Customers: 2, Models: 2, VersionsPerModel: 2, Backends: 3, Domains: 2})}
	seed, err := env.Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"document":{"models":{"m":{"versions":{"v":{"state":"active","weight":-1}}}}}}`))
	f.Add([]byte(`{"document":{"backends":{"b":{"kind":"engine"}}}}`))
	f.Add([]byte("null"))
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := New(nil, clockwork.NewFakeClock(), log)
		if !w.Offer(kv.Revision(1), value) {
			if w.Table() != nil {
				t.Fatal("a rejected value became the current table")
			}
			return
		}
		if fs := config.Validate(w.Table().Document()); len(fs) > 0 {
			t.Fatalf("an invalid document became current: %v", fs)
		}
	})
}

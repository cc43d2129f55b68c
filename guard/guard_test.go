package guard

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/config"
	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

const subject = "m@v2#0"

func newGuard(name string) *Guard {
	return New(name, 1, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func everyone(string) bool { return true }

// tell hands a's digest to b.
func tell(a, b *Guard) bool {
	d := &peerpb.Digest{}
	a.Topic(everyone).Fill(d, true)
	return b.Topic(everyone).Merge(context.Background(), peers.Received{Digest: d})
}

// TestScatteredEvidenceHaltsTheVersion: symptom: a version that answers
// badly goes on being served because no single entry sees enough of it.
// Sequence: eight entries each see three answers of v2, all bad, and gossip.
// Cause, if each judged by its own answers only: none crosses the line.
func TestScatteredEvidenceHaltsTheVersion(t *testing.T) {
	is := is.New(t)
	var gs []*Guard
	for i := range 8 {
		g := newGuard(fmt.Sprintf("e%d", i))
		for range 3 {
			g.Observe(subject, true)
		}
		is.True(!g.Halted(subject))
		gs = append(gs, g)
	}
	for _, from := range gs[1:] {
		tell(from, gs[0])
	}
	is.True(gs[0].Halted(subject))
	is.True(tell(gs[0], gs[5])) // news for another entry
	is.True(gs[5].Halted(subject))
	is.True(!tell(gs[0], gs[5])) // and then no longer
}

// TestHaltOutlivesAKVOutage: symptom: a halted version comes back when the
// entries are replaced. Sequence: a version is halted while the KV is down
// (or its answer is lost), the KV returns, an entry starts afresh. Cause, if
// the halt were written once: the write was lost with the outage.
func TestHaltOutlivesAKVOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := memkv.New(clockwork.NewFakeClock())
	g := newGuard("a")
	for range 10 {
		g.Observe(subject, true)
	}
	is.True(g.Halted(subject))
	g.Persist(ctx, downKV{store})
	is.True(!g.State()[subject].Stored)
	g.Persist(ctx, store)
	is.True(g.State()[subject].Stored)
	_, kvs, err := store.Get(ctx, config.HaltPrefix, true)
	is.NoErr(err)
	fresh := newGuard("b")
	fresh.Stored(kvs[0].Key)
	is.True(fresh.Halted(subject))
}

type downKV struct{ *memkv.Store }

func (downKV) CompareAndPut(context.Context, string, kv.Revision, []byte, kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	return false, 0, nil, kv.ErrUnavailable
}

// TestPropertyHaltsOnlyGrow: whatever digests arrive, late, repeated or out
// of order, a halt once known stays known, and counts never go back.
func TestPropertyHaltsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gs := []*Guard{newGuard("a"), newGuard("b"), newGuard("c")}
		var old []*peerpb.Digest
		halted := make([]bool, len(gs))
		for i, n := 0, rapid.IntRange(1, 80).Draw(rt, "steps"); i < n; i++ {
			at := rapid.IntRange(0, 2).Draw(rt, "entry")
			before := gs[at].State()[subject].Samples
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				gs[at].Observe(subject, rapid.Bool().Draw(rt, "bad"))
			case 1:
				d := &peerpb.Digest{}
				gs[at].Topic(everyone).Fill(d, true)
				old = append(old, d)
			case 2:
				if len(old) > 0 {
					d := old[rapid.IntRange(0, len(old)-1).Draw(rt, "digest")]
					gs[at].Topic(everyone).Merge(context.Background(), peers.Received{Digest: d})
				}
			}
			if halted[at] && !gs[at].Halted(subject) {
				rt.Fatal("a halt was forgotten")
			}
			halted[at] = gs[at].Halted(subject)
			if gs[at].State()[subject].Samples < before {
				rt.Fatal("counts went back")
			}
		}
	})
}

// answersToHalt plays answers that are bad with probability rate until the
// test halts the version, limit at most.
func answersToHalt(rng *rand.Rand, rate float64, line float64, limit int) int {
	var c cusum
	for i := 1; i <= limit; i++ {
		bad := int64(0)
		if rng.Float64() < rate {
			bad = 1
		}
		c.add(1-bad, bad)
		if float64(c) >= line {
			return i
		}
	}
	return limit
}

// TestHaltRates bounds, with a fixed seed, what the chosen threshold costs:
// a version whose every answer is bad gets at most 5 answers before the
// halt, a half bad one 20 on average, and of 200 versions that are well (1
// bad answer in 100) over 20,000 answers each none is halted.
func TestHaltRates(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	is.True(answersToHalt(rng, 1, threshold, 100) <= 5)
	sum := 0
	for range 200 {
		sum += answersToHalt(rng, 0.5, threshold, 1000)
		is.Equal(answersToHalt(rng, 0.01, threshold, 20000), 20000)
	}
	is.True(sum/200 <= 20)
}

// BenchmarkHalt gives the mean answers until a halt at several bad rates and
// thresholds: exposure for rates above badRate, false alarms below okRate.
func BenchmarkHalt(b *testing.B) {
	for _, line := range []float64{4, 6, 8, 10} {
		for _, rate := range []float64{0.02, 0.05, 0.2, 0.3, 0.5, 1} {
			b.Run(fmt.Sprintf("threshold=%v/bad=%v", line, rate), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				sum := 0
				for range b.N {
					sum += answersToHalt(rng, rate, line, 200000)
				}
				b.ReportMetric(float64(sum)/float64(b.N), "answers/halt")
			})
		}
	}
}

// TestNewcomerDoesNotHaltAGoodVersion: symptom: a version that is well is
// halted everywhere moments after an entry was replaced. Sequence: an entry
// has counted thousands of answers with a few bad ones among them; a new
// entry hears its totals for the first time, in one digest. Cause, when a
// digest's bad answers counted as if they had come last and together: the
// few of a long time look like a burst.
func TestNewcomerDoesNotHaltAGoodVersion(t *testing.T) {
	is := is.New(t)
	old, fresh := newGuard("old"), newGuard("fresh")
	for i := range 10000 {
		old.Observe(subject, i%50 == 0) // 2% bad
	}
	is.True(!old.Halted(subject))
	tell(old, fresh)
	is.True(!fresh.Halted(subject))
}

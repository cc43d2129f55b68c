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

func allLocal(string) bool { return true }

// gossip merges a's digest into b and reports whether it held a new halt.
func gossip(a, b *Guard) bool {
	d := &peerpb.Digest{}
	a.Topic(allLocal).Fill(d, true)
	return b.Topic(allLocal).Merge(context.Background(), peers.Received{Digest: d})
}

// TestMergedCountsHaltTheVersion guards against a bad version that stays in
// service because no single entry sees enough of its answers. Eight entries see
// three bad answers of v2 each: alone none crosses the threshold, merged they do.
func TestMergedCountsHaltTheVersion(t *testing.T) {
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
		gossip(from, gs[0])
	}
	is.True(gs[0].Halted(subject))
	is.True(gossip(gs[0], gs[5])) // new to the other entry
	is.True(gs[5].Halted(subject))
	is.True(!gossip(gs[0], gs[5])) // already known
}

// TestHaltOutlivesAKVOutage guards against a halted version that is served
// again after the entries are replaced. It is halted while the KV is down (or
// its answer is lost); a halt written only once would be lost, and an entry
// started after the outage would not learn it.
func TestHaltOutlivesAKVOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := memkv.New(clockwork.NewFakeClock())
	g := newGuard("a")
	for range 10 {
		g.Observe(subject, true)
	}
	is.True(g.Halted(subject))
	g.Persist(ctx, unavailableKV{store})
	is.True(!g.State()[subject].Stored)
	g.Persist(ctx, store)
	is.True(g.State()[subject].Stored)
	_, kvs, err := store.Get(ctx, config.HaltPrefix, true)
	is.NoErr(err)
	fresh := newGuard("b")
	fresh.RecordStoredHalt(kvs[0].Key)
	is.True(fresh.Halted(subject))
}

type unavailableKV struct{ *memkv.Store }

func (unavailableKV) CompareAndPut(context.Context, string, kv.Revision, []byte, kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	return false, 0, nil, kv.ErrUnavailable
}

// TestPropertyHaltsAndCountsAreMonotonic checks that whatever digests arrive,
// late, repeated or out of order, a known halt stays and counts never decrease.
func TestPropertyHaltsAndCountsAreMonotonic(t *testing.T) {
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
				gs[at].Topic(allLocal).Fill(d, true)
				old = append(old, d)
			case 2:
				if len(old) > 0 {
					d := old[rapid.IntRange(0, len(old)-1).Draw(rt, "digest")]
					gs[at].Topic(allLocal).Merge(context.Background(), peers.Received{Digest: d})
				}
			}
			if halted[at] && !gs[at].Halted(subject) {
				rt.Fatal("a known halt was lost")
			}
			halted[at] = gs[at].Halted(subject)
			if gs[at].State()[subject].Samples < before {
				rt.Fatal("counts decreased")
			}
		}
	})
}

// answersToHalt draws answers that are bad with probability rate and returns
// how many it takes until the statistic reaches haltAt, limit at most.
func answersToHalt(rng *rand.Rand, rate float64, haltAt float64, limit int) int {
	var c cusum
	for i := 1; i <= limit; i++ {
		bad := int64(0)
		if rng.Float64() < rate {
			bad = 1
		}
		c.add(1-bad, bad)
		if float64(c) >= haltAt {
			return i
		}
	}
	return limit
}

// TestHaltRates bounds the cost of the threshold, with a fixed seed: a version
// whose every answer is bad gives at most 5 answers before the halt, one with
// half of them bad 20 on average, and of 200 healthy versions (1 bad answer in
// 100) over 20,000 answers each none is halted.
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

// BenchmarkHalt measures the mean number of answers until a halt at several bad
// rates and thresholds: exposure above badRate, false alarms below okRate.
func BenchmarkHalt(b *testing.B) {
	for _, haltAt := range []float64{4, 6, 8, 10} {
		for _, rate := range []float64{0.02, 0.05, 0.2, 0.3, 0.5, 1} {
			b.Run(fmt.Sprintf("threshold=%v/bad=%v", haltAt, rate), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				sum := 0
				for range b.N {
					sum += answersToHalt(rng, rate, haltAt, 200000)
				}
				b.ReportMetric(float64(sum)/float64(b.N), "answers/halt")
			})
		}
	}
}

// TestNewEntryDoesNotHaltAGoodVersion guards against a healthy version that is
// halted everywhere just after an entry was replaced. The new entry receives, in
// one digest, totals of thousands of answers with a few bad ones; when these
// counted as if they had come last and together, they looked like a burst.
func TestNewEntryDoesNotHaltAGoodVersion(t *testing.T) {
	is := is.New(t)
	old, fresh := newGuard("old"), newGuard("fresh")
	for i := range 10000 {
		old.Observe(subject, i%50 == 0) // 2% bad
	}
	is.True(!old.Halted(subject))
	gossip(old, fresh)
	is.True(!fresh.Halted(subject))
}

package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/lovageweir/lovageweir/config"
)

// BenchmarkPrefixLocality plays a pool of 12 engines, each able to cache 8
// of 60 shared prompt prefixes and to run 64 requests, at three loads: the
// share of requests whose prefix was cached at the engine chosen, and how far
// the fullest engine stood above the mean. Reports lag by 2 s, as measured.
func BenchmarkPrefixLocality(b *testing.B) {
	for _, rate := range []float64{0.02, 0.06, 0.1} { // requests a millisecond
		b.Run(fmt.Sprintf("rate=%v", rate*1000), func(b *testing.B) {
			p := newPool()
			for range b.N {
				p.request(rate)
			}
			b.ReportMetric(float64(p.hits)/float64(b.N), "hit-share")
			b.ReportMetric(p.excess/float64(b.N), "max/mean")
		})
	}
}

const (
	poolEngines  = 12
	poolCapacity = 64
	cached       = 8
	prefixes     = 60
	answerMillis = 5000
	reportMillis = 2000
)

type end struct {
	at     float64
	engine int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// pool is a small simulation of engines behind eight entries.
type pool struct {
	rng     *rand.Rand
	table   *Table
	now     float64
	running ends
	load    [poolEngines]int
	report  [poolEngines]int
	own     [8][poolEngines]int // by entry, since the report
	told    float64
	caches  [poolEngines][]int
	entry   int
	hits    int
	excess  float64
}

func newPool() *pool {
	doc := &config.Document{
		Models:    map[string]config.Model{"m": {Versions: map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {"*"}}}},
		Backends:  map[string]config.Backend{},
	}
	for i := range poolEngines {
		doc.Backends[fmt.Sprintf("e%02d", i)] = config.Backend{Kind: config.KindEngine, Address: fmt.Sprint(i), Domain: "fd-1", Model: "m", Version: "v1", Capacity: poolCapacity}
	}
	return &pool{rng: rand.New(rand.NewPCG(1, 2)), table: NewTable(1, doc)}
}

// State implements Endpoints as one entry sees the pool.
func (p *pool) State(b *BackendInfo) (int, bool) {
	var i int
	fmt.Sscanf(b.Name, "e%d", &i)
	return p.report[i] + p.own[p.entry][i], true
}

func (p *pool) request(rate float64) {
	p.now += p.rng.ExpFloat64() / rate
	for len(p.running) > 0 && p.running[0].at <= p.now {
		p.load[heap.Pop(&p.running).(end).engine]--
	}
	if p.now-p.told >= reportMillis {
		p.told, p.report, p.own = p.now, p.load, [8][poolEngines]int{}
	}
	p.entry = p.rng.IntN(len(p.own))
	prefix := int(float64(prefixes) * p.rng.Float64() * p.rng.Float64()) // some are asked for more
	dec, _ := p.table.Decide(Request{APIKey: "k", Model: "m", ID: fmt.Sprint(p.now), AffinityKey: fmt.Sprint("prefix", prefix)},
		View{Domain: "fd-1", Endpoints: p})
	var e int
	fmt.Sscanf(dec.Candidates[0].Name, "e%d", &e)
	p.load[e]++
	p.own[p.entry][e]++
	heap.Push(&p.running, end{p.now + answerMillis*p.rng.ExpFloat64(), e})
	p.touch(e, prefix)
	total := 0
	for _, l := range p.load {
		total += l
	}
	p.excess += float64(slices.Max(p.load[:])) * poolEngines / float64(total)
}

func (p *pool) touch(e, prefix int) {
	c := p.caches[e]
	if i := slices.Index(c, prefix); i >= 0 {
		p.hits++
		c = slices.Delete(c, i, i+1)
	} else if len(c) >= cached {
		c = c[1:]
	}
	p.caches[e] = append(c, prefix)
}

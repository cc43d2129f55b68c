package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/lovageweir/lovageweir/config"
)

// BenchmarkPrefixLocality simulates a pool of 12 engines, each able to cache 8 of
// 60 shared prompt prefixes and to run 64 requests, at three loads. It reports
// the share of requests whose prefix was cached at the chosen engine, and the
// load of the fullest engine over the mean. Load reports are 2 s apart.
func BenchmarkPrefixLocality(b *testing.B) {
	for _, rate := range []float64{0.02, 0.06, 0.1} { // requests a millisecond
		b.Run(fmt.Sprintf("rate=%v", rate*1000), func(b *testing.B) {
			p := newPoolSim()
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
	cacheSlots   = 8
	prefixes     = 60
	answerMillis = 5000
	reportMillis = 2000
)

type completion struct {
	at     float64
	engine int
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// poolSim simulates engines behind eight entries.
type poolSim struct {
	rng            *rand.Rand
	table          *Table
	now            float64
	running        completionHeap
	load           [poolEngines]int
	reported       [poolEngines]int
	ownSinceReport [8][poolEngines]int // by entry
	reportedAt     float64
	caches         [poolEngines][]int
	entry          int
	hits           int
	excess         float64
}

func newPoolSim() *poolSim {
	doc := &config.Document{
		Models:    map[string]config.Model{"m": {Versions: map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {"*"}}}},
		Backends:  map[string]config.Backend{},
	}
	for i := range poolEngines {
		doc.Backends[fmt.Sprintf("e%02d", i)] = config.Backend{Kind: config.KindEngine, Address: fmt.Sprint(i), Domain: "fd-1", Model: "m", Version: "v1", Capacity: poolCapacity}
	}
	return &poolSim{rng: rand.New(rand.NewPCG(1, 2)), table: NewTable(1, doc)}
}

// State implements Endpoints from the view of the current entry.
func (p *poolSim) State(b *BackendInfo) (int, bool) {
	var i int
	fmt.Sscanf(b.Name, "e%d", &i)
	return p.reported[i] + p.ownSinceReport[p.entry][i], true
}

func (p *poolSim) request(rate float64) {
	p.now += p.rng.ExpFloat64() / rate
	for len(p.running) > 0 && p.running[0].at <= p.now {
		p.load[heap.Pop(&p.running).(completion).engine]--
	}
	if p.now-p.reportedAt >= reportMillis {
		p.reportedAt, p.reported, p.ownSinceReport = p.now, p.load, [8][poolEngines]int{}
	}
	p.entry = p.rng.IntN(len(p.ownSinceReport))
	prefix := int(float64(prefixes) * p.rng.Float64() * p.rng.Float64()) // skewed popularity
	dec, _ := p.table.Decide(Request{APIKey: "k", Model: "m", ID: fmt.Sprint(p.now), AffinityKey: fmt.Sprint("prefix", prefix)},
		View{Domain: "fd-1", Endpoints: p})
	var e int
	fmt.Sscanf(dec.Candidates[0].Name, "e%d", &e)
	p.load[e]++
	p.ownSinceReport[p.entry][e]++
	heap.Push(&p.running, completion{p.now + answerMillis*p.rng.ExpFloat64(), e})
	p.recordCacheAccess(e, prefix)
	total := 0
	for _, l := range p.load {
		total += l
	}
	p.excess += float64(slices.Max(p.load[:])) * poolEngines / float64(total)
}

func (p *poolSim) recordCacheAccess(e, prefix int) {
	c := p.caches[e]
	if i := slices.Index(c, prefix); i >= 0 {
		p.hits++
		c = slices.Delete(c, i, i+1)
	} else if len(c) >= cacheSlots {
		c = c[1:]
	}
	p.caches[e] = append(c, prefix)
}

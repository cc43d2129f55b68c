package shares

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const (
	svc       = "svc"
	objective = time.Second
)

// observe records n answers of an urgency with a delay.
func observe(t *Table, n, urgency int, delay time.Duration) {
	for range n {
		t.ObserveDelay(svc, urgency, delay, objective)
	}
}

// Guards against the delay of long, less urgent prompts counting as a shortage for urgent requests: engines serve those
// first.
func TestShortageCountsRequestsAtLeastAsUrgent(t *testing.T) {
	is := is.New(t)
	table := New(Deps{Clock: clockwork.NewFakeClock()})
	observe(table, 10, 6, 250*time.Millisecond)
	observe(table, 10, 2, 50*time.Millisecond)
	urgent, other := table.Standing(svc, "c", 2, "a"), table.Standing(svc, "c", 6, "a")
	is.Equal(urgent.Shortage, 0.0)
	is.True(other.Shortage > 0.49 && other.Shortage < 0.51) // between a tenth and four tenths
	is.True(urgent.ServiceShortage > 0.49)
	is.True(urgent.SeveralUrgencies == false && other.SeveralUrgencies)
	observe(table, 10, 2, 450*time.Millisecond)
	is.True(table.Standing(svc, "c", 6, "a").Shortage >= table.Standing(svc, "c", 2, "a").Shortage)
}

// A single late answer is no shortage, and delays of more than two seconds ago do not count.
func TestDelaysAreMeansOfTwoSeconds(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	observe(table, 1, 2, 350*time.Millisecond)
	is.Equal(table.Standing(svc, "c", 2, "a").Shortage, 0.0)
	observe(table, 10, 2, time.Second)
	is.Equal(table.Standing(svc, "c", 2, "a").Shortage, 1.0)
	clock.Advance(2 * time.Second)
	is.Equal(table.Standing(svc, "c", 2, "a").Shortage, 0.0)
}

// Delays that other entries saw count like own ones, each once, and false rows have no effect.
func TestReceivedDelays(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := New(Deps{Clock: clock}), New(Deps{Clock: clock})
	observe(from, 10, 2, 200*time.Millisecond)
	rows := from.TakeDelays()
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Permille, uint32(200))
	is.Equal(len(from.TakeDelays()), 0)
	to.ReceiveDelays(append(rows, DelayRow{hashOf(svc), 10, 5, 9000}, DelayRow{hashOf(svc), 2, 1 << 31, 9000}, DelayRow{hashOf(svc), 2, 0, 9000}))
	is.Equal(to.Standing(svc, "c", 2, "a").Delay, 0.2)
	for i := range 1000 {
		to.ReceiveDelays([]DelayRow{{uint32(i), 2, 1, 1}})
	}
	is.True(len(to.services) <= maxToldServices)
}

// Without a table a request keeps its urgency, and nothing is short.
func TestNoTable(t *testing.T) {
	is := is.New(t)
	var table *Table
	table.AddDemand(svc, "c", time.Second)
	table.ObserveDelay(svc, 2, time.Second, time.Second)
	is.Equal(table.Standing(svc, "c", 4, "a"), Standing{Urgency: 4})
	is.Equal(table.CostRatio(svc, time.Second), 1.0)
	is.Equal(len(table.Demands())+len(table.TakeDelays()), 0)
}

// load makes customers ask for engine time for a while; work is each customer's per second.
func load(table *Table, clock *clockwork.FakeClock, d time.Duration, work map[string]time.Duration) {
	const step = 100 * time.Millisecond
	for range d / step {
		for customer, w := range work {
			table.AddDemand(svc, customer, w/10)
		}
		table.Standing(svc, "c0", 2, "x")
		clock.Advance(step)
	}
}

func customers(n int) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range n {
		out[fmt.Sprint("c", i)] = time.Second
	}
	return out
}

// inExcess returns the part of 1,000 requests of a customer that are in excess.
func inExcess(table *Table, customer string) float64 {
	n := 0.0
	for i := range 1000 {
		if table.Standing(svc, customer, 2, fmt.Sprint(i)).InExcess {
			n++
		}
	}
	return n / 1000
}

// A customer at six times its usual demand has five sixths of its requests in excess while the service is short, the
// others none, and nobody has any while it is not.
func TestExcessOfOneCustomer(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	load(table, clock, 40*time.Second, customers(8))
	surge := customers(8)
	surge["c3"] *= 6
	load(table, clock, 3*time.Second, surge)
	is.Equal(inExcess(table, "c3"), 0.0)
	observe(table, 10, 2, 200*time.Millisecond)
	is.True(inExcess(table, "c3") > 0.7)
	is.Equal(inExcess(table, "c1"), 0.0)
	st := table.Standing(svc, "c3", 2, firstExcess(table, "c3"))
	is.Equal(st.Urgency, LeastUrgent)
	load(table, clock, 3*time.Second, customers(8))
	observe(table, 10, 2, 200*time.Millisecond)
	is.Equal(inExcess(table, "c3"), 0.0) // its surge is over
}

func firstExcess(table *Table, customer string) string {
	for i := range 1000 {
		if table.Standing(svc, customer, 2, fmt.Sprint(i)).InExcess {
			return fmt.Sprint(i)
		}
	}
	return ""
}

// Guards against requests of all customers being demoted when demand rises with the time of the day: nobody asks for more
// than others do.
func TestCommonGrowthIsNoExcess(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	usual := customers(6)
	usual["c0"] *= 20 // over an equal part
	load(table, clock, 40*time.Second, usual)
	for c := range usual {
		usual[c] *= 2
	}
	load(table, clock, 3*time.Second, usual)
	observe(table, 10, 2, 300*time.Millisecond)
	is.Equal(inExcess(table, "c0"), 0.0)
	is.Equal(inExcess(table, "c1"), 0.0)
}

// An entry that starts knows no usual demand: customers have equal parts, and the only customer of a service is never in
// excess.
func TestEqualPartsAfterStart(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	asked := customers(4)
	asked["c0"] *= 5
	load(table, clock, 2*time.Second, asked)
	observe(table, 10, 2, 250*time.Millisecond)
	clock.Advance(refreshInterval)
	is.True(inExcess(table, "c0") > 0.2)
	is.Equal(inExcess(table, "c1"), 0.0)
	alone := New(Deps{Clock: clock})
	load(alone, clock, 20*time.Second, customers(1))
	load(alone, clock, 2*time.Second, map[string]time.Duration{"c0": 9 * time.Second})
	observe(alone, 10, 2, time.Second)
	is.Equal(inExcess(alone, "c0"), 0.0)
}

// What an entry told expires after three seconds, and a later datagram replaces an earlier one.
func TestToldDemandExpires(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	k := demandKey{1, 2}
	for range 3 {
		table.ReceiveDemands("i2", []DemandRow{{1, 2, 100}})
	}
	table.ReceiveDemands("i3", []DemandRow{{1, 2, 10}})
	is.Equal(table.demands[k].told, int64(110))
	clock.Advance(toldTTL + time.Second)
	table.Demands()
	is.Equal(table.demands[k].told, int64(0))
}

// Guards against a log line for each request, and against changes that are not told.
func TestChangesAreLogged(t *testing.T) {
	is := is.New(t)
	var logs strings.Builder
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock, Log: textLogger(&logs)})
	load(table, clock, 20*time.Second, customers(4))
	surge := customers(4)
	surge["c1"] *= 6
	for range 30 {
		observe(table, 10, 2, 300*time.Millisecond)
		load(table, clock, 100*time.Millisecond, surge)
	}
	load(table, clock, 10*time.Second, customers(4))
	for _, want := range []string{"shares: service is short of capacity.", "shares: customer is over its share.", "shares: customer is within its share.", "shares: service has capacity again."} {
		is.Equal(strings.Count(logs.String(), want), 1)
	}
}

// Guards against a table that outgrows the memory of a small entry: 300 entries, 2,000 customers.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	names := make([]string, 2000)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	before := heap()
	table := New(Deps{Clock: clock})
	for i, name := range names {
		table.AddDemand(svc, name, time.Duration(i+1)*time.Millisecond)
	}
	rows := table.Demands()
	for i := range 300 {
		from := rows[i : i+80] // as many as fit a datagram
		table.ReceiveDemands(fmt.Sprint("entry-", i), append([]DemandRow(nil), from...))
		table.ReceiveDelays([]DelayRow{{hashOf(svc), 2, 10, 100}, {hashOf(svc), 4, 10, 100}, {hashOf(svc), 6, 10, 100}})
	}
	rows = nil
	used := heap() - before
	t.Logf("%d KB", used>>10)
	is.True(used < 1<<20)
	runtime.KeepAlive(table)
}

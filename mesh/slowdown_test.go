package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

func newBoardExchange(clock clockwork.Clock, instance string) (*place.Board, *LoadExchange) {
	board := place.NewBoard(clock)
	return board, NewLoadExchange(LoadExchangeDeps{Instance: instance, Board: board, Budget: newBudget(), Limits: newLimits(), Log: discardLog})
}

// Guards against an entry not knowing the speed of an endpoint that it has never used, and against the
// datagram of a build that reports no slowdowns overwriting the known one.
func TestDatagramForwardsSlowdowns(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, a := newBoardExchange(clock, "a")
	to, b := newBoardExchange(clock, "b")
	from.Begin(fleet.Endpoint{ID: "e1"}, 0).HeadReceived(&call.Load{Running: 9, Slots: 12, SlowdownPercent: 170})
	from.Begin(fleet.Endpoint{ID: "e2"}, 0).HeadReceived(&call.Load{Running: 1, Slots: 12})
	raw, _, err := a.Datagram()
	is.NoErr(err)
	b.Receive(raw)
	is.Equal(to.Factor("e1"), 1.7)
	is.Equal(to.Factor("e2"), 1.0)
	is.True(!to.Standing("e2").HasFactor)

	var msg meshpb.Load
	is.NoErr(proto.Unmarshal(raw, &msg))
	msg.SlowdownPercent = nil
	raw, err = proto.Marshal(&msg)
	is.NoErr(err)
	b.Receive(raw)
	is.Equal(to.Factor("e1"), 1.7)
}

// Guards against datagrams of a deployment whose endpoints report no slowdown carrying a column of zeros.
func TestDatagramWithoutSlowdowns(t *testing.T) {
	is := is.New(t)
	from, a := newBoardExchange(clockwork.NewFakeClock(), "a")
	from.Begin(fleet.Endpoint{ID: "e1"}, 0).HeadReceived(&call.Load{Running: 9, Slots: 12})
	raw, _, err := a.Datagram()
	is.NoErr(err)
	var msg meshpb.Load
	is.NoErr(proto.Unmarshal(raw, &msg))
	is.Equal(len(msg.Loaded), 1)
	is.Equal(len(msg.SlowdownPercent), 0)
}

// Guards against a crash on a datagram with fewer slowdowns than loads.
func TestDatagramWithMismatchedSlowdownsIsDropped(t *testing.T) {
	is := is.New(t)
	to, b := newBoardExchange(clockwork.NewFakeClock(), "b")
	raw, err := proto.Marshal(&meshpb.Load{Instance: "a", Loaded: []uint32{1, 2}, Running: []uint32{1, 1}, Waiting: []uint32{0, 0}, LoadAgeMs: []uint32{0, 0}, SlowdownPercent: []uint32{70}})
	is.NoErr(err)
	b.Receive(raw)
	is.Equal(to.Factor("e1"), 1.0)
}

// Guards against datagrams that exceed a frame when an entry has much to tell: the recipient would read
// a part of them and drop it.
func TestDatagramWithSlowdownsFits(t *testing.T) {
	is := is.New(t)
	from, a := newBoardExchange(clockwork.NewFakeClock(), "a")
	for i := range 2 * maxEndpoints {
		from.Begin(fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i))}, 20*time.Second).HeadReceived(&call.Load{Running: 300, Waiting: 200, Slots: 12, SlowdownPercent: 10000})
	}
	raw, _, err := a.Datagram()
	is.NoErr(err)
	is.True(len(raw) <= maxDatagramBytes)
	var msg meshpb.Load
	is.NoErr(proto.Unmarshal(raw, &msg))
	is.Equal(len(msg.SlowdownPercent), len(msg.Loaded))
}

// Guards against figures that change with each answer using up the datagrams that announce long work.
func TestChangedFiguresLeaveDatagramsForWork(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := newEntry(t, "a")
	var events []kv.Event
	for i := range publishToAllLimit + 1 { // the periodic datagrams come every second
		events = append(events, put(fmt.Sprintf("%si%03d", fleet.EntryPrefix, i), fmt.Sprintf(`{"instance":"i%03d","loads":"127.0.0.1:%d"}`, i, 1000+i), kv.Revision(i+1)))
	}
	mergeChanges(m, fleet.Changes{Revision: publishToAllLimit + 1, Whole: true, Events: events})
	board := place.NewBoard(clock)
	l := NewLoadExchange(LoadExchangeDeps{Instance: "a", Fleet: m.Fleet, Board: board, Clock: clock, Log: discardLog})
	change := func(percent int) {
		board.Begin(fleet.Endpoint{ID: "e"}, 0).HeadReceived(&call.Load{Slots: 12, SlowdownPercent: percent})
	}
	await := func() chan bool {
		done := make(chan bool, 1)
		go func() { done <- l.awaitPublish(t.Context()) }()
		return done
	}
	notDone := func(done chan bool) {
		t.Helper()
		select {
		case <-done:
			t.Error("datagrams are due")
		case <-time.After(20 * time.Millisecond):
		}
	}
	change(70)
	change(170)
	l.published = clock.Now()
	done := await()
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(figuresInterval - time.Millisecond)
	notDone(done)
	clock.Advance(time.Millisecond)
	is.True(<-done)

	// With less than half of a burst left, only long work is announced.
	l.sendLimiter.sent(datagramBurst * 3 / 4)
	l.published = clock.Now()
	change(70)
	done = await()
	is.NoErr(clock.BlockUntilContext(t.Context(), 3)) // one timer is left from before
	clock.Advance(figuresInterval)
	notDone(done)
	board.Begin(fleet.Endpoint{ID: "e"}, time.Second)
	is.True(<-done)
}

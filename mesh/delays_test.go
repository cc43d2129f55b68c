package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
	"github.com/lovageweir/lovageweir/shares"
)

// Guards against delays and demand that are not told to other entries, or that overflow a datagram, and against columns
// of unequal lengths, which would be read past their ends.
func TestSharesAreExchanged(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := newTestLoads(clock, "i1"), newTestLoads(clock, "i2")
	for i := range 500 {
		from.Shares.AddDemand("svc", fmt.Sprint("c", i), time.Duration(i+1)*time.Millisecond)
	}
	for range 10 {
		from.Shares.ObserveDelay("svc", 2, 200*time.Millisecond, time.Second)
	}
	raw, empty, err := from.Datagram()
	is.NoErr(err)
	is.True(!empty)
	is.True(len(raw) <= 1400)
	var msg meshpb.Load
	is.NoErr(proto.Unmarshal(raw, &msg))
	is.True(len(msg.Demand) > 60)
	is.True(msg.Demand[0] >= msg.Demand[len(msg.Demand)-1]) // the largest are left out last
	to.Receive(raw)
	is.Equal(to.Shares.Standing("svc", "c", 2, "a").Delay, 0.2)

	msg.DelayPermille = nil
	raw, err = proto.Marshal(&msg)
	is.NoErr(err)
	other := newTestLoads(clock, "i3")
	other.Receive(raw)
	is.Equal(other.Shares.Standing("svc", "c", 2, "a").Delay, 0.0)
}

func newTestLoads(clock clockwork.Clock, instance string) *LoadExchange {
	return NewLoadExchange(LoadExchangeDeps{Instance: instance, Board: place.NewBoard(clock), Budget: newBudget(), Shares: shares.New(shares.Deps{Clock: clock}),
		Limits: newLimits(), Log: discardLog})
}

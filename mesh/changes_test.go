package mesh

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Guards against snapshots that fill an entry's link, and against entries of other builds that cannot read them.
func TestLargeChangesAreSentCompressedToThoseWhoUnpackThem(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	whole := fleet.Changes{Revision: 1000, Whole: true}
	for i := range 1000 {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Domain: "d", Version: "v1"})
		key, value := e.Registration(false)
		whole.Events = append(whole.Events, put(key, string(value), kv.Revision(i+1)))
	}
	mergeChanges(a, whole)
	plain, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "old"})
	is.NoErr(err)
	is.Equal(len(plain.Changes), 1000)
	is.Equal(len(plain.PackedChanges), 0)

	a.lastSnapshot = a.lastSnapshot.Add(-snapshotInterval)
	packed, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Unpacks: true})
	is.NoErr(err)
	is.Equal(len(packed.Changes), 0)
	is.True(5*len(packed.PackedChanges) < sizeOf(whole.Events))
	is.NoErr(newEntry(t, "c").unpackChanges(packed))
	is.Equal(len(packed.Changes), 1000)
	is.True(packed.Whole)

	b := newEntry(t, "b", a.Address)
	a.lastSnapshot = a.lastSnapshot.Add(-snapshotInterval)
	b.ExchangeWith(context.Background(), a.Address)
	is.Equal(len(b.Fleet.View().Group("s").Ready), 1000)
	passedOn, err := b.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "c", Unpacks: true})
	is.NoErr(err)
	is.True(bytes.Equal(passedOn.PackedChanges, b.packer.kept[0].raw)) // as it was received
	mergeChanges(a, fleet.Changes{Revision: 1001, Events: []kv.Event{put("op/config", `{"version":3}`, 1001)}})
	b.ExchangeWith(context.Background(), a.Address) // a few changes are sent as they are
	is.Equal(b.Fleet.View().Config.Version, int64(3))
}

// Guards against an entry compressing the same configuration anew for each of the entries that ask it.
func TestCompressedChangesAreKeptForTheNextToAsk(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	mergeChanges(a, fleet.Changes{Revision: 1, Whole: true, Events: []kv.Event{put("op/config", `{"version":1}`, 1)}})
	large := fmt.Sprintf(`{"version":2,"tenants":[{"name":"%01000d"}]}`, 0)
	for len(large) < minPackedBytes {
		large += " "
	}
	mergeChanges(a, fleet.Changes{Revision: 2, Events: []kv.Event{put("op/config", large, 2)}})
	ask := func() []byte {
		got, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Revision: 1, Unpacks: true})
		is.NoErr(err)
		is.Equal(got.Revision, int64(2))
		return got.PackedChanges
	}
	first, second := ask(), ask()
	is.True(len(first) > 0)
	is.True(&first[0] == &second[0])
	mergeChanges(a, fleet.Changes{Revision: 3, Events: []kv.Event{put("op/config", large+" ", 3)}})
	got, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Revision: 1, Unpacks: true})
	is.NoErr(err)
	is.Equal(got.Revision, int64(3)) // not the changes up to an earlier revision
}

// Guards against a snapshot that was compressed a while ago passing for current.
func TestAnOlderSnapshotIsOfItsAge(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	clock := clockwork.NewFakeClock()
	a.Clock = clock
	a.Fleet = fleet.NewFollower(fleet.Entry{Instance: "a"}, memkv.New(clock), platform.Values{}, time.Second, clock, discardLog)
	a.Fleet.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) })
	large := put("other", string(make([]byte, minPackedBytes)), 1)
	mergeChanges(a, fleet.Changes{Revision: 1, Whole: true, Events: []kv.Event{large}})
	ask := func() *meshpb.ExchangeMessage {
		got, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Unpacks: true})
		is.NoErr(err)
		return got
	}
	is.Equal(ask().ConfirmedMs, int64(0))
	clock.Advance(snapshotReuse / 2)
	mergeChanges(a, fleet.Changes{Revision: 2, Events: []kv.Event{put("op/config", `{"version":3}`, 2)}})
	got := ask()
	is.Equal(got.Revision, int64(1))
	is.Equal(got.ConfirmedMs, (snapshotReuse / 2).Milliseconds())
	clock.Advance(snapshotReuse)
	is.Equal(ask().Revision, int64(2))
}

package fleet_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
)

// Guards against an unreadable record being written again and again without effect.
func TestUnreadableQuarantineRecordCounts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := fleet.NewFollower(fleet.Entry{Instance: "i"}, memkv.New(clock), platform.Values{}, time.Second, clock, slog.New(slog.DiscardHandler))
	merge := func(rev kv.Revision, kind kv.EventType, key, value string) {
		f.Merge("test", fleet.Changes{Revision: rev, Events: []kv.Event{{Type: kind, KV: kv.KeyValue{Key: fleet.QuarantinePrefix + key, Value: []byte(value), ModRevision: rev}}}}, 0)
	}
	merge(1, kv.EventPut, "1f", `{"crashed":["e1"]}`)
	merge(2, kv.EventPut, "2f", `{"crashed":7}`)
	merge(3, kv.EventPut, "no fingerprint", `{}`)
	is.True(f.View().Quarantine.Has(0x1f))
	is.True(f.View().Quarantine.Has(0x2f))
	is.Equal(f.View().Quarantine.Len(), 2)
	merge(4, kv.EventDelete, "1f", "")
	is.True(!f.View().Quarantine.Has(0x1f))
}

package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// benchDecoder decodes endpoints whose value is their failure domain.
type benchDecoder struct{ Decoder }

func (benchDecoder) Classify(key string) (ItemKind, string) { return ItemEndpoint, key }

func (benchDecoder) Endpoint(name string, value []byte) (Registration, error) {
	return Registration{Endpoint: Endpoint{ID: EndpointID(name), Name: name, Service: "s", Address: name, Domain: string(value), Version: "v1", Slots: 12}}, nil
}

func endpointEvent(i int, rev kv.Revision) kv.Event {
	return kv.Event{KV: kv.KeyValue{Key: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Value: []byte(fmt.Sprint("d", i%6)), ModRevision: rev, CreateRevision: rev}}
}

// BenchmarkChangeOfOneEndpoint measures what one change costs an entry, by the size of the fleet.
func BenchmarkChangeOfOneEndpoint(b *testing.B) {
	for _, n := range []int{300, 1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBuilder(benchDecoder{}, time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
			now := time.Now()
			for i := range n {
				f.apply(endpointEvent(i, kv.Revision(i+1)), now)
			}
			f.view(kv.Revision(n), now)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				f.apply(endpointEvent(i%n, kv.Revision(n+i)), now)
				f.view(kv.Revision(n+i), now)
			}
		})
	}
}

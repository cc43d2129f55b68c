package ingress_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// unreachableAddress returns an address that refuses connections.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against callers that stay at an entry whose own domain is evacuated and which reaches no other.
func TestEntryThatReachesNoUsableDomainSendsItsCallersElsewhere(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	w := newEnvInDomain(t, memkv.New(clock), clock, "i1", "d1")
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	w.addEngine(platformtest.EngineConfig{ID: "own", Service: service, Domain: "d1", Version: "v1"})
	for i := range 8 {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: fmt.Sprint("e", i), Service: service, Domain: "d2", Version: "v1", Address: unreachableAddress(t)})
		w.put(e.Registration(false))
	}
	w.sync()
	is.Equal(w.do(http.MethodPost, "/get/x", "body").status, http.StatusOK)
	is.True(w.server.Ready())

	w.put(evacuationKey+"d1", []byte("{}"))
	w.sync()
	clock.Advance(100 * time.Millisecond)
	got := w.do(http.MethodPost, "/get/x", "body") // finds the other domain lost
	is.Equal(got.status, http.StatusServiceUnavailable)
	got = w.do(http.MethodPost, "/get/x", "body")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Retry-After"), "2.50")
	is.True(got.last) // its connection is closed
	is.True(!w.server.Ready())
	is.Equal(len(w.runs()), 1)

	clock.Advance(100 * time.Millisecond)
	w.sync() // news of the store
	is.True(w.server.Ready())
}

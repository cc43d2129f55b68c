package ingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
)

// Guards against endpoints that are silent for a second taking entries out of service or costing requests.
func TestEndpointsThatAreSilentForASecondCostNobodyElseAnything(t *testing.T) {
	is := is.New(t)
	f := newPartitionCluster(t, 2, 1, 3)
	for _, e := range f.all[0].engines {
		e.Config.Work = 300 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, sent, notReady := 0, 0, 0
	for caller := range 12 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				e := f.all[caller%len(f.all)]
				id := fmt.Sprintf("s%d-%d", caller, n)
				got := e.do(http.MethodPost, []string{"/post/x", "/get/x", "/resume/stream"}[n%3], "body "+id, "X-Attempt-Id", id)
				ready := e.server.Ready()
				mu.Lock()
				sent++
				if got.err != nil || got.status != http.StatusOK {
					lost++
					t.Logf("%s: status %d, %v", id, got.status, got.err)
				}
				if !ready {
					notReady++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		var resume []func()
		for _, e := range f.all {
			for _, ep := range f.all[0].engines[:2] {
				resume = append(resume, e.link.pause(ep.Config.Address))
			}
		}
		time.Sleep(1100 * time.Millisecond)
		for _, r := range resume {
			r()
		}
	}
	time.Sleep(300 * time.Millisecond)
	cancel()
	wg.Wait()
	t.Logf("%d of %d requests were not served, %d times an entry was not ready", lost, sent, notReady)
	is.Equal(lost, 0)
	is.Equal(notReady, 0)
	f.assertRunOnce(is)
}

// Guards against refusing callers while two endpoints are silent and the third has not answered yet.
func TestSlowAnswersBesideSilentEndpointsDoNotTakeTheEntryOutOfService(t *testing.T) {
	is := is.New(t)
	f := newPartitionCluster(t, 1, 1, 3)
	for _, e := range f.all[0].engines {
		e.Config.Work = 700 * time.Millisecond
	}
	for _, e := range f.all[0].engines[:2] {
		defer f.all[0].link.pause(e.Config.Address)()
	}
	var wg sync.WaitGroup
	answers := make([]answer, 12)
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			answers[i] = f.all[0].do(http.MethodPost, "/get/x", "body", "X-Attempt-Id", fmt.Sprint("z", i))
		})
	}
	wg.Wait()
	for _, got := range answers {
		is.Equal(got.status, http.StatusOK)
	}
}

// Guards against streams that wait on connections that have gone silent while new ones work.
func TestStreamsOnDeadConnectionsResume(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 3)
	for _, e := range w.engines {
		e.Config.Events, e.Config.Pause = 40, 25*time.Millisecond
	}
	var wg sync.WaitGroup
	answers := make([]answer, 6)
	for i := range answers {
		wg.Go(func() {
			answers[i] = w.do(http.MethodPost, "/resume/stream", "body", "X-Attempt-Id", fmt.Sprint("d", i))
		})
	}
	time.Sleep(400 * time.Millisecond)
	w.link.set(linkSilences)
	w.link.set(linkUp)
	began := time.Now()
	wg.Wait()
	is.True(time.Since(began) < 4500*time.Millisecond) // two and a half pauses, and the rest of a stream
	for _, got := range answers {
		is.NoErr(got.err)
		is.Equal(got.body, platformtest.WholeStream(0, 40))
	}
}

// Guards against taking a lost link for crashed endpoints, and requests for the cause.
func TestResetLinksAreNotTakenForCrashedEndpoints(t *testing.T) {
	is := is.New(t)
	f := newPartitionCluster(t, 3, 1, 4)
	for _, e := range f.all[0].engines {
		e.Config.Events, e.Config.Pause = 100, 20*time.Millisecond
	}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 3 {
				f.all[0].do(http.MethodPost, "/resume/stream", "the same body", "X-Attempt-Id", fmt.Sprintf("q%d-%d", i, n))
			}
		})
	}
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		f.all[0].link.set(linkResets)
		time.Sleep(150 * time.Millisecond)
		f.all[0].link.set(linkUp)
	}
	wg.Wait()
	is.Equal(f.all[0].quarantine.State().Suspects, 0)
}

// Guards against missing crashes because no other entry reaches an endpoint that could confirm them.
func TestCrashesAreRecognizedWhileOtherEntriesReachNothing(t *testing.T) {
	is := is.New(t)
	f := newPartitionCluster(t, 3, 1, 0)
	address, release := unreachableAddress(t)
	e := platformtest.NewEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Events: 100, Pause: 20 * time.Millisecond, Address: address})
	release()
	ln, err := net.Listen("tcp", e.Config.Address)
	is.NoErr(err)
	srv := &http.Server{Handler: e}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	f.put(e.Registration(false))
	f.sync()
	for _, other := range f.all[1:] {
		other.link.set(linkResets)
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.all[0].do(http.MethodPost, "/resume/stream", "body") })
	time.Sleep(200 * time.Millisecond)
	is.NoErr(srv.Close())
	wg.Wait()
	is.Equal(f.all[0].quarantine.State().Suspects, 1)
	f.all[0].assertEvidenceOfThreeCrashes(is, e, "body")
}

// assertEvidenceOfThreeCrashes ends two further incarnations of an engine under the request that ended the first,
// and checks that all three count once the next one is known.
func (w *testEnv) assertEvidenceOfThreeCrashes(is *is.I, e *platformtest.Engine, body string) {
	is.Helper()
	for _, id := range []string{"e2", "e3"} {
		c := e.Config
		c.ID = id
		next := platformtest.NewEngine(c)
		var ln net.Listener
		var err error
		for range 100 { // connections of the one before may still hold the address
			if ln, err = net.Listen("tcp", c.Address); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.NoErr(err)
		srv := &http.Server{Handler: next}
		go func() { _ = srv.Serve(ln) }() // ends with Close
		_, err = w.kv.Delete(context.Background(), "servers/"+e.Config.ID, false)
		is.NoErr(err)
		w.put(next.Registration(false))
		w.sync()
		e = next
		var wg sync.WaitGroup
		wg.Go(func() {
			for until := time.Now().Add(2 * time.Second); len(next.Runs()) == 0 && time.Now().Before(until); { // the link may count as down
				w.do(http.MethodPost, "/resume/stream", body)
			}
		})
		for until := time.Now().Add(2 * time.Second); len(next.Runs()) == 0 && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(len(next.Runs()), 1)
		is.NoErr(srv.Close())
		wg.Wait()
	}
	last := platformtest.NewEngine(e.Config)
	last.Config.ID = "e4"
	_, err := w.kv.Delete(context.Background(), "servers/"+e.Config.ID, false)
	is.NoErr(err)
	w.put(last.Registration(false))
	w.sync()
	w.quarantine.Tick(context.Background())
	reports := w.quarantine.Reports()
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Fingerprint, quarantine.FingerprintOf("cust", http.MethodPost, host, "/resume/stream", []byte(body)))
	is.Equal(len(reports[0].Crashes), 3)
}

package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Guards against a planned stop cutting off streams and calls, which may have run,
// without an answer because they came too late. Requests that may not end in time are
// refused as not run, so that they can be sent to another entry; shorter ones are served
// until there is no time for them either. Streams used to be refused from a fixed moment
// on, calls never.
func TestStoppingEntryAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.gate.Begin(drain.Times{AcceptAllFor: 2 * time.Second, ServeAtLeast: 3 * time.Second, End: 20 * time.Second})
	is.True(!w.server.Ready())
	long, short := []string{"X-Deadline-Remaining", "60000"}, []string{"X-Deadline-Remaining", "2000"}
	w.do(http.MethodPost, "/resume/stream", "body", long...).assertCompleteStream(is) // its route allows 10 s
	refused := func(path string, header ...string) {
		t.Helper()
		before := len(w.runs())
		a := w.do(http.MethodPost, path, "body", header...)
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get("Retry-After") != "")
		is.True(a.last)
		is.Equal(len(w.runs()), before)
	}
	w.gateClock.Advance(12 * time.Second)
	refused("/resume/stream", long...)
	w.do(http.MethodPost, "/post/x", "body", long...).assertComplete(is) // its route allows 5 s
	w.gateClock.Advance(5 * time.Second)
	refused("/post/x", long...)
	w.do(http.MethodPost, "/post/x", "body", short...).assertComplete(is)
	w.gate.Close()
	refused("/post/x", short...)
}

// Guards against a stopping entry taking requests from another one that may not end in time: the caller of the other
// entry would get no answer, to a request that may have run.
func TestAStoppingEntryRefusesLateRequestsHandedToIt(t *testing.T) {
	for path := range answeredElsewhere {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			is := is.New(t)
			f := newCluster(t, 2, clockwork.NewRealClock())
			w, stopping := f.all[0], f.all[1]
			w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", RetryAfter: "60"})
			w.faults(platformtest.Refuse)
			f.sync()
			stopping.gate.Begin(drain.Times{AcceptAllFor: 2 * time.Second, ServeAtLeast: 3 * time.Second, End: 8 * time.Second})
			is.Equal(w.callRaw(path, "a1", "body").status, http.StatusOK) // handed over early in the stop
			stopping.gateClock.Advance(7500 * time.Millisecond)
			got := w.callRaw(path, "a2", "body")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(w.runsOf("a2"), 0)
		})
	}
}

// Guards against the end of a stop closing connections without an answer while a call
// and a stream are still at their endpoint. The call is answered with a status that says
// that it may have run; the stream has begun and breaks off recognisably; the log names
// the stop as the cause, not the callers.
func TestRequestsCutOffByAStopAreAnswered(t *testing.T) {
	is := is.New(t)
	w := newUnconfiguredEnv(t)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Events: 1000, Pause: 20 * time.Millisecond})
	w.sync()
	w.faults(platformtest.Hang)
	call := make(chan answer)
	go func() { call <- w.do(http.MethodPost, "/post/x", "body") }()
	waitFor(t, func() bool { return len(w.runs()) == 1 })
	resp, err := http.DefaultClient.Do(w.request(http.MethodPost, "/once/stream", "body"))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		w.gate.Drain(drain.Times{}, func() {})
	}()
	a := <-call
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusBadGateway)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // it does not look complete
	waitFor(t, func() bool { return w.gate.InFlight() == 0 })
	w.gateClock.Advance(time.Second)
	<-drained
	is.Equal(strings.Count(w.logs.String(), `"outcome":"cut_by_stop"`), 2)
}

// sendPartialRequest sends a request's head and half of its body. It returns the
// connection and the other half.
func sendPartialRequest(w *testEnv, path string) (conn net.Conn, rest string) {
	w.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a1\r\nX-Credential: %s\r\nX-Deadline-Remaining: 60000\r\nContent-Length: 8\r\n\r\nhalf", path, host, key)
	waitFor(w.t, func() bool { return w.gate.InFlight() == 1 })
	return conn, "half"
}

// endStop runs a stop to its end: it returns when the requests in flight were cut off and
// their answers are awaited, or all were answered.
func (w *testEnv) endStop() {
	w.t.Helper()
	waits, ended := context.WithCancel(w.t.Context())
	go func() {
		defer ended()
		w.gate.Drain(drain.Times{}, func() {})
	}()
	if err := w.gateClock.BlockUntilContext(waits, 1); err != nil && w.gate.InFlight() > 0 {
		w.t.Fatal(err)
	}
}

// Guards against a caller that sends its body slowly getting no answer at the end of a
// stop, which did not interrupt the reading of bodies.
func TestSlowBodyIsRefusedAtTheEndOfAStop(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	conn, _ := sendPartialRequest(w, "/post/x")
	w.endStop()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(w.runs()), 0)
}

// Guards against a request reaching an endpoint after the stop's time is over, so that
// its caller is told that it may have run. It is admitted, and the rest of its body
// arrives as the time ends. A context bound to the stop after its end was not yet
// cancelled when it was first used: 7 to 14 of 300 such requests ran.
func TestBodyCompletedAfterTheStopIsNotForwarded(t *testing.T) {
	is := is.New(t)
	for range 50 {
		w := newEnv(t, 1)
		conn, rest := sendPartialRequest(w, "/post/x")
		w.endStop()
		fmt.Fprint(conn, rest)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(len(w.runs()), 0)
	}
}

// Guards against a request getting no answer when an entry stops before it knows a
// configuration: the wait for the configuration went on after the end of the stop, for
// longer than the last answers may take.
func TestAwaitingAConfigurationEndsWithTheStop(t *testing.T) {
	is := is.New(t)
	w := newUnconfiguredEnv(t)
	answered := make(chan answer, 1)
	go func() { answered <- w.do(http.MethodGet, "/get/x", "") }()
	waitFor(t, func() bool { return w.gate.InFlight() == 1 })
	w.endStop()
	a := <-answered
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(a.body, "stopping"))
}

// Guards against the log blaming an endpoint for an answer that was partly read when the
// stop's time was over.
func TestAnswerCutOffByAStopIsNotBlamedOnTheEndpoint(t *testing.T) {
	is := is.New(t)
	w := newUnconfiguredEnv(t)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Events: 1000, Pause: 20 * time.Millisecond})
	w.sync()
	answered := make(chan answer, 1)
	go func() { answered <- w.do(http.MethodPost, "/post/stream", "body") }()
	waitFor(t, func() bool { return len(w.runs()) == 1 })
	w.endStop()
	is.Equal((<-answered).status, http.StatusBadGateway)
	waitFor(t, func() bool { return strings.Contains(w.logs.String(), "request ended") })
	is.True(strings.Contains(w.logs.String(), "abandoned (entry stops)"))
}

// Guards against a caller's next request crossing the close of its connection. A request
// arrives, the entry begins to stop, and the request is refused. Whether a response is the
// last on its connection was decided when the request arrived, and not again when it was
// refused.
func TestARefusalDuringAStopIsTheLastOnItsConnection(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 0)
	conn, rest := sendPartialRequest(w, "/post/x")
	w.gate.Begin(drain.Times{AcceptAllFor: time.Second, ServeAtLeast: time.Second, End: time.Second})
	fmt.Fprint(conn, rest)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
}

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/answertest"
)

// Concurrent callers, and requests of each. Whether an entry reads bytes before or after it sends a request is a race.
const (
	aheadCallers  = 16
	aheadRequests = 50
	// earlyRequests are those that are answered before they are sent; each has a connection and an entry of its own.
	earlyRequests = 20
)

// listenForBodies serves kept connections: it writes a text to each of them at once, and what answer returns for the body
// of each request.
func listenForBodies(t *testing.T, first string, answer func(body string) string) string {
	t.Helper()
	return answertest.Listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		text := first
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			text = answer(string(body))
		}
	})
}

// post sends a body to the plain service m of an entry.
func post(client *http.Client, srv *httptest.Server, body string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, srv.URL+ServicePrefix+"m/x", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(got)}, err
}

// playAhead sends requests of aheadCallers, whose bodies differ, and returns how many were refused as failed and how many
// got an answer other than their own.
func playAhead(t *testing.T, srv *httptest.Server) (failed, wrong int64) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: aheadCallers}}
	defer client.CloseIdleConnections()
	var fails, wrongs atomic.Int64
	var callers sync.WaitGroup
	for c := range aheadCallers {
		callers.Go(func() {
			for i := range aheadRequests {
				body := fmt.Sprintf("%d-%d", c, i)
				switch got, err := post(client, srv, body); {
				case err != nil:
					t.Error(err)
				case got.status >= http.StatusInternalServerError:
					fails.Add(1)
				case got.status != http.StatusOK || got.body != "answer to "+body:
					wrongs.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return fails.Load(), wrongs.Load()
}

// Guards against taking what a back end sends behind an answer, on a kept connection, for the answer to the next request.
func TestBytesBehindAnAnswerAreNotTheNextAnswer(t *testing.T) {
	for _, kind := range []answertest.Kind{answertest.StatusZero, answertest.OddNames} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			another := answertest.Text(kind, "", "another", 0)
			backend := func() string {
				return listenForBodies(t, "", func(body string) string {
					return answertest.Text(answertest.OddSameLength, "", "answer to "+body, 0) + another
				})
			}
			doc := oneModelConfig(backendSpec{"a", "fd-1", config.KindService, backend()}, backendSpec{"b", "fd-2", config.KindService, backend()})
			for name, b := range doc.Backends {
				b.Idempotent = true
				doc.Backends[name] = b
			}
			failed, wrong := playAhead(t, serveGateway(t, testDeps(doc, clockwork.NewRealClock())))
			t.Logf("%d of %d requests failed, %d got another answer than their own", failed, aheadCallers*aheadRequests, wrong)
			is.Equal(wrong, int64(0))
		})
	}
}

// Guards against running a request twice that may not be repeated, after an answer that came before it was sent.
func TestARequestIsNotRepeatedAfterAnAnswerBeforeIt(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	runs := map[string]int{}
	backend := func() string {
		return listenForBodies(t, answertest.Text(answertest.StatusZero, "", "posted", 0), func(body string) string {
			mu.Lock()
			defer mu.Unlock()
			runs[body]++
			return ""
		})
	}
	a, b := backend(), backend()
	var plays sync.WaitGroup
	var answered atomic.Int64
	for c := range aheadCallers {
		plays.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for i := range earlyRequests {
				doc := oneModelConfig(backendSpec{"a", "fd-1", config.KindService, a}, backendSpec{"b", "fd-2", config.KindService, b})
				srv := serveGateway(t, testDeps(doc, clockwork.NewRealClock()))
				got, err := post(client, srv, fmt.Sprintf("%d-%d", c, i))
				if err != nil || got.status < http.StatusInternalServerError {
					answered.Add(1)
				}
				srv.Close()
			}
		})
	}
	plays.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	t.Logf("%d requests, %d of them run, %d twice, %d answered", aheadCallers*earlyRequests, len(runs), twice, answered.Load())
	is.Equal(twice, 0)
	is.Equal(answered.Load(), int64(0))
}

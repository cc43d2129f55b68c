package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/standin/engine"
)

const poisonPrompt = "a prompt that crashes engines"

// startCrashingEngine starts an engine that crashes when it runs the poison prompt.
func startCrashingEngine(t *testing.T, crashes *atomic.Int64) string {
	t.Helper()
	e := engine.New(engine.Settings{Model: "m", Version: "v1"}, slog.New(slog.DiscardHandler)).Handler()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a truncated body does not hold the poison prompt
		if bytes.Contains(body, []byte(poisonPrompt)) {
			crashes.Add(1)
			_ = srv.Close() // cuts its connections
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.ServeHTTP(w, r)
	})
	go func() { _ = srv.Serve(ln) }() // returns when the server closes
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func postPrompt(t *testing.T, srv *httptest.Server, text string, stream bool) *http.Response {
	t.Helper()
	return postMessages(t, srv, stream, openai.Message{Role: "user", Content: text})
}

func postMessages(t *testing.T, srv *httptest.Server, stream bool, messages ...openai.Message) *http.Response {
	t.Helper()
	encoded, err := json.Marshal(messages)
	if err != nil {
		t.Fatal(err)
	}
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":4,"messages":%s}`, stream, encoded)
	req, err := http.NewRequest(http.MethodPost, srv.URL+chatPath, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// Guards against a prompt that crashes the engines that run it being sent to one
// engine after the other.
func TestARequestThatCrashesBackEndsIsQuarantined(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		fc := clockwork.NewFakeClock()
		var crashes atomic.Int64
		servers, gossip := startCrashingFleet(t, fc, &crashes)
		var last *http.Response
		for i := range 12 {
			last = postPrompt(t, servers[i%3], poisonPrompt, stream)
			gossip()
		}
		is.True(crashes.Load() <= 6) // three until it is quarantined, and three more
		is.Equal(last.StatusCode, http.StatusServiceUnavailable)
		is.True(last.Header.Get("Retry-After") != "")
		is.Equal(postPrompt(t, servers[0], "hello", stream).StatusCode, http.StatusOK)
	}
}

// startCrashingFleet starts three gateways in front of twelve engines that crash when they run the poison
// prompt. The returned function makes them exchange what they know of crashes.
func startCrashingFleet(t *testing.T, fc *clockwork.FakeClock, crashes *atomic.Int64) (servers []*httptest.Server, gossip func()) {
	t.Helper()
	var engines []backendSpec
	for n := range 12 {
		engines = append(engines, backendSpec{name: fmt.Sprintf("b%d", n), domain: "fd-1", kind: "engine", addr: startCrashingEngine(t, crashes)})
	}
	var tables []*quarantine.Table
	for range 3 {
		d := testDeps(oneModelConfig(engines...), fc)
		d.Quarantine = quarantine.New(quarantine.Deps{Clock: fc, Log: d.Log})
		servers, tables = append(servers, serveGateway(t, d)), append(tables, d.Quarantine)
	}
	return servers, func() {
		for _, from := range tables {
			for _, to := range tables {
				to.Merge("other", from.Reports())
			}
		}
	}
}

// Guards against a system prompt that crashes engines being sent to one after the other because the questions behind it differ.
func TestAMessageThatCrashesBackEndsIsQuarantined(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		fc := clockwork.NewFakeClock()
		var crashes atomic.Int64
		servers, gossip := startCrashingFleet(t, fc, &crashes)
		question := func(n int) openai.Message {
			return openai.Message{Role: "user", Content: fmt.Sprintf("question %d", n)}
		}
		var last *http.Response
		for i := range 12 {
			last = postMessages(t, servers[i%3], stream, openai.Message{Role: "system", Content: poisonPrompt}, question(i))
			gossip()
			fc.Advance(settleTime)
			for range 2 {
				for _, s := range servers {
					is.Equal(postMessages(t, s, stream, openai.Message{Role: "system", Content: "be brief"}, question(100+i)).StatusCode, http.StatusOK)
				}
			}
		}
		is.True(crashes.Load() <= 6)
		is.Equal(last.StatusCode, http.StatusServiceUnavailable)
	}
}

// settleTime exceeds the time that weak evidence needs.
const settleTime = time.Second

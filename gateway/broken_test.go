package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/openai"
)

// rawBackend is a back end that gives the first request for which it is asked one kind of answer, and others a valid one.
type rawBackend struct {
	kind answertest.Kind
	// broken counts the answers of that kind, runs all answers of all back ends that share it.
	broken, runs *atomic.Int64
}

func (b rawBackend) start(t *testing.T) string {
	t.Helper()
	return answertest.Listen(t, b.serve)
}

func (b rawBackend) serve(conn net.Conn) {
	br := bufio.NewReader(conn)
	req, err := http.ReadRequest(br)
	if err != nil {
		_ = conn.Close()
		return
	}
	b.runs.Add(1)
	kind := answertest.OddSameLength
	if b.broken.Add(1) == 1 {
		kind = b.kind
	}
	begin := make([]byte, 64)
	n, _ := io.ReadFull(req.Body, begin)
	if !kind.Early() {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	rid, body, part := req.Header.Get(openai.HeaderRequestID), "posted", len("post")
	if strings.HasPrefix(req.URL.Path, chatPath) {
		chunk := fmt.Sprintf("data: {\"id\":%q,\"model\":\"m@v1\",\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}\n\n", rid)
		body, part = chunk+"data: [DONE]\n\n", len(chunk)
	}
	answertest.Serve(conn, kind, answertest.Text(kind, "Content-Type: text/plain\r\n", body, part), req.Body, req.ContentLength-int64(n))
}

// brokenMode is a kind of request to an entry of the OpenAI interface.
type brokenMode struct {
	name                    string
	kind                    string
	idempotent, stream, may bool // may: be run again
}

var brokenModes = []brokenMode{
	{name: "service", kind: config.KindService},
	{name: "idempotent service", kind: config.KindService, idempotent: true, may: true},
	{name: "engine, stream", kind: config.KindEngine, stream: true, may: true},
	{name: "engine, whole", kind: config.KindEngine, may: true},
}

// play sends a request with a body to an entry whose first back end gives a kind of answer, and returns what the caller
// got and how many back ends ran it.
func (m brokenMode) play(t *testing.T, kind answertest.Kind, padding string) (reply, int64) {
	t.Helper()
	b := rawBackend{kind: kind, broken: new(atomic.Int64), runs: new(atomic.Int64)}
	doc := oneModelConfig(backendSpec{"a", "fd-1", m.kind, b.start(t)}, backendSpec{"b", "fd-2", m.kind, b.start(t)})
	for name, backend := range doc.Backends {
		backend.Idempotent = m.idempotent
		doc.Backends[name] = backend
	}
	d := testDeps(doc, clockwork.NewRealClock())
	scope := tally.NewTestScope("", nil)
	var log bytes.Buffer
	d.Scope, d.Log = scope, slog.New(slog.NewTextHandler(&log, nil))
	got := m.send(t, serveGateway(t, d), padding)
	if broken := int64(strings.Count(log.String(), "gateway: back end's answer is broken.")); broken != counted(scope, "broken_answers") || broken > 0 != (b.runs.Load() > 1 || !m.whole(got)) {
		t.Errorf("%d broken answers were counted, and logged: %s", counted(scope, "broken_answers"), &log)
	}
	return got, b.runs.Load()
}

// counted returns the sum of the counters of a name, whatever their tags.
func counted(scope tally.TestScope, name string) (sum int64) {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name {
			sum += c.Value()
		}
	}
	return sum
}

func (m brokenMode) send(t *testing.T, srv *httptest.Server, padding string) reply {
	t.Helper()
	path, body := ServicePrefix+"m/x", "a posting"+padding
	if m.kind == config.KindEngine {
		path = chatPath
		body = fmt.Sprintf(`{"model":"m","stream":%v,"messages":[{"role":"user","content":"hi%s"}]}`, m.stream, padding)
	}
	req, err := http.NewRequest(http.MethodPost, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(got)}
}

// whole reports whether a reply is the back end's whole answer.
func (m brokenMode) whole(a reply) bool {
	switch {
	case a.status != http.StatusOK || strings.Contains(a.body, openai.OutcomeUnknown):
		return false
	case m.kind == config.KindService:
		return a.body == "posted"
	case m.stream:
		return strings.Contains(a.body, `"t0 "`) && strings.HasSuffix(a.body, "data: [DONE]\n\n")
	}
	return strings.Contains(a.body, `"t0 "`)
}

func (m brokenMode) check(t *testing.T, got reply, runs int64) {
	t.Helper()
	is := is.New(t)
	is.Equal(m.whole(got), m.may)
	if m.may {
		is.Equal(runs, int64(2))
		return
	}
	is.Equal(runs, int64(1))
	is.True(got.status >= http.StatusInternalServerError)
	is.True(strings.Contains(got.body, openai.OutcomeUnknown))
}

// Guards against passing on answers of back ends that are not valid HTTP/1.1, or with another status than the back end sent.
func TestInvalidAnswersAreNotPassedOn(t *testing.T) {
	for _, kind := range answertest.InvalidHeads {
		for _, m := range brokenModes {
			t.Run(string(kind)+"/"+m.name, func(t *testing.T) {
				got, runs := m.play(t, kind, "")
				m.check(t, got, runs)
			})
		}
	}
}

// Guards against refusing unusual answers of sound back ends as invalid, or as reset.
func TestUnusualAnswersArePassedOn(t *testing.T) {
	for _, kind := range answertest.Odd {
		for _, m := range brokenModes {
			t.Run(string(kind)+"/"+m.name, func(t *testing.T) {
				is := is.New(t)
				padding := ""
				if kind.Early() {
					padding = longPadding
				}
				got, runs := m.play(t, kind, padding)
				is.True(m.whole(got))
				is.Equal(runs, int64(1))
			})
		}
	}
}

// longPadding makes a body exceed what the kernel buffers between an entry and a back end that does not read.
var longPadding = strings.Repeat("b", maxRequestBody-1024)

// earlyResets is how many answers of each kind are reset in their middle. Whether a read or a write meets the reset
// first is a race.
const earlyResets = 50

// Guards against taking the part of an answer for whole that arrived until its connection was reset, if a write of the
// request's body met the reset.
func TestAnAnswerResetDuringTheUploadIsNotWhole(t *testing.T) {
	for _, m := range brokenModes {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			wrong := 0
			for range earlyResets {
				got, runs := m.play(t, answertest.EarlyReset, longPadding)
				again := m.may && !m.stream // what was passed on of a stream ends with an error
				if m.whole(got) != again || !again && !strings.Contains(got.body, openai.OutcomeUnknown) || again != (runs == 2) {
					wrong++
				}
			}
			t.Logf("%d of %d answers were wrong", wrong, earlyResets)
			is.Equal(wrong, 0)
		})
	}
}

package ingress_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// answeredElsewhere tells for each kind of request whether another endpoint may answer it after a broken answer.
var answeredElsewhere = map[string]bool{"/post/x": false, "/once/stream": false, "/get/x": true, "/resume/stream": true}

// Lines of a head as HTTP/1.1 has them, with the statuses that end an exchange.
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.1 [2-5][0-9][0-9] [^[:cntrl:]]*$`)
	fieldLine  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:(\t|[^[:cntrl:]])*$")
)

// callRaw sends a request over a connection of its own, and checks that all lines of the answer's head are valid.
func (w *testEnv) callRaw(path, id, body string) answer {
	w.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Remaining: 5000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, key, len(body), body)
	if err != nil {
		return answer{err: err}
	}
	raw, err := io.ReadAll(conn)
	if err != nil || len(raw) == 0 {
		return answer{err: fmt.Errorf("no answer (%w)", err)}
	}
	head, _, _ := strings.Cut(string(raw), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	if !statusLine.MatchString(lines[0]) {
		w.t.Errorf("%s: status line %q", id, lines[0])
	}
	for _, line := range lines[1:] {
		if !fieldLine.MatchString(line) {
			w.t.Errorf("%s: line %q", id, line)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(raw))), nil)
	if err != nil {
		return answer{err: err}
	}
	got, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(got), resp.Close, err}
}

// assertBroken checks what a caller got whose first endpoint sent a broken answer.
func (w *testEnv) assertBroken(is *is.I, path, id string, got answer) {
	is.Helper()
	switch {
	case answeredElsewhere[path]:
		w.assertWhole(is, path, id, got)
	case got.err == nil: // the request may have run
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.header.Get("X-Response-Seal"), "")
	}
}

// assertWhole checks that an answer is the endpoint's.
func (w *testEnv) assertWhole(is *is.I, path, id string, got answer) {
	is.Helper()
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	body := "answer to " + id
	sealed := body
	if strings.HasSuffix(path, "/stream") {
		body, sealed = platformtest.WholeStream(0, 5), id
	}
	is.Equal(got.body, body)
	seal := got.header.Get("X-Response-Seal")
	engine, _, _ := strings.Cut(seal, ".")
	is.True(seal == platformtest.Seal(engine, body) || seal == platformtest.Seal(engine, sealed))
}

// runsOf returns how often a request ran.
func (w *testEnv) runsOf(id string) (n int) {
	for _, r := range w.runs() {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Guards against passing on answers that are not valid HTTP/1.1, with their lines, with a status that the endpoint did
// not send, or with a body that is not the endpoint's; and against running a request again that may not be.
func TestInvalidAnswersAreNotPassedOn(t *testing.T) {
	for _, fault := range answertest.InvalidHeads {
		for path, again := range answeredElsewhere {
			t.Run(string(fault)+path, func(t *testing.T) {
				is := is.New(t)
				w := newEnv(t, 3)
				scope := w.boundAnswers()
				w.faults(platformtest.Fault(fault))
				got := w.callRaw(path, "a1", "body")
				is.NoErr(got.err) // each caller gets a whole answer
				w.assertBroken(is, path, "a1", got)
				is.Equal(w.runsOf("a1") > 1, again)
				is.Equal(counted(scope, "invalid_answers_total"), int64(1))
				is.True(invalidLine.MatchString(w.logs.String()))
				is.Equal(w.quarantine.State().Suspects, 0) // the request crashes nothing
			})
		}
	}
}

// invalidLine is the log line of an answer that is not valid.
var invalidLine = regexp.MustCompile(`"msg":"ingress: answer is not valid; connection closed.","defect":"[a-z_0-9.]+","id":"a1","endpoint":"e[1-3]"`)

// counted returns the sum of the counters of a name, whatever their tags.
func counted(scope tally.TestScope, name string) (sum int64) {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name {
			sum += c.Value()
		}
	}
	return sum
}

// Guards against refusing unusual answers of sound endpoints as invalid, or as reset.
func TestUnusualAnswersArePassedOn(t *testing.T) {
	for _, fault := range answertest.Odd {
		for path := range answeredElsewhere {
			t.Run(string(fault)+path, func(t *testing.T) {
				is := is.New(t)
				w := newEnv(t, 1)
				w.allowLongBodies()
				body := "body"
				if fault.Early() {
					body = longBody
				}
				w.faults(platformtest.Fault(fault))
				w.assertWhole(is, path, "a1", w.callRaw(path, "a1", body))
				is.Equal(w.runsOf("a1"), 1)
			})
		}
	}
}

// Guards against passing on answers of other entries, to requests that were handed to them, that are not valid.
func TestInvalidAnswersOfOtherEntriesAreNotPassedOn(t *testing.T) {
	for _, kind := range append([]answertest.Kind{answertest.OddNames}, answertest.InvalidHeads...) {
		for path := range answeredElsewhere {
			t.Run(string(kind)+path, func(t *testing.T) {
				is := is.New(t)
				f := newCluster(t, 1, clockwork.NewRealClock())
				w := f.all[0]
				w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", RetryAfter: "60"})
				w.faults(platformtest.Refuse)
				other := fleet.Entry{Instance: "other", Domain: "d1", Address: answertest.Start(t, kind, "Lovageweir-Handoff: other\r\nX-Response-Seal: seal\r\n", "handed on")}
				record, err := json.Marshal(other)
				is.NoErr(err)
				f.put(fleet.EntryPrefix+other.Instance, record)
				f.sync()
				scope := w.boundAnswers()
				got := w.callRaw(path, "a1", "body")
				is.NoErr(got.err)
				if kind == answertest.OddNames {
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, "handed on")
					return
				}
				is.Equal(got.status, http.StatusBadGateway) // it may have run
				is.Equal(got.header.Get("X-Response-Seal"), "")
				is.Equal(counted(scope, "invalid_answers_total"), int64(1))
			})
		}
	}
}

// newEntryOfTwo returns one of two entries before three engines. If tunnel is set, it reaches them through the other one.
func newEntryOfTwo(t *testing.T, tunnel bool) *testEnv {
	t.Helper()
	f := newCluster(t, 2, clockwork.NewRealClock())
	w := f.all[0]
	for n := range 3 {
		w.addEngine(platformtest.EngineConfig{ID: fmt.Sprint("e", n), Service: service, Domain: "d1", Version: "v1"})
	}
	f.sync()
	if tunnel {
		w.link.set(linkRefuses)
		w.do(http.MethodPost, "/get/x", "body") // finds the link lost
	}
	return w
}

// Guards against passing on answers that are not valid if they come through another entry.
func TestInvalidAnswersThroughTunnelsAreNotPassedOn(t *testing.T) {
	for path, again := range answeredElsewhere {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			is := is.New(t)
			w := newEntryOfTwo(t, true)
			for n, kind := range answertest.InvalidHeads {
				id := fmt.Sprint("t", n)
				w.faults(platformtest.Fault(kind))
				got := w.callRaw(path, id, "body")
				is.NoErr(got.err)
				w.assertBroken(is, path, id, got)
				is.Equal(w.runsOf(id) > 1, again)
			}
			is.True(strings.Contains(w.logs.String(), " via="))
		})
	}
}

// longBody exceeds what the kernel buffers between an entry and an endpoint that does not read.
var longBody = strings.Repeat("b", 8<<20)

// allowLongBodies lets the entry take bodies of the size of longBody.
func (w *testEnv) allowLongBodies() {
	w.t.Helper()
	config := testConfig()
	config.Limits.BodyBytes = int64(len(longBody))
	w.put("op/config", platformtest.EncodeConfig(config))
	w.sync()
	d := w.server.Deps
	d.BodyMemory = membudget.New(8 * int64(len(longBody)))
	w.server = ingress.New(d)
	srv := httptest.NewServer(w.server.Handler())
	w.t.Cleanup(srv.Close)
	w.url = srv.URL
}

// earlyResets is how many answers of each kind are reset in their middle. Whether a read or a write meets the reset
// first is a race.
const earlyResets = 50

// Guards against taking the part of an answer for whole that arrived until its connection was reset, if a write of the
// request's body met the reset.
func TestAnAnswerResetDuringTheUploadIsNotWhole(t *testing.T) {
	for _, tunnel := range []bool{false, true} {
		for path, again := range answeredElsewhere {
			t.Run(fmt.Sprintf("tunnel=%v%s", tunnel, path), func(t *testing.T) {
				is := is.New(t)
				w := newEntryOfTwo(t, tunnel)
				w.allowLongBodies()
				for _, e := range w.engines {
					e.FaultOf = func(r *http.Request) platformtest.Fault {
						if w.runsOf(r.Header.Get("X-Attempt-Id")) == 0 {
							return platformtest.Fault(answertest.EarlyReset)
						}
						return platformtest.NoFault
					}
				}
				wrong := 0
				for n := range earlyResets {
					id := fmt.Sprint("r", n)
					got := w.callRaw(path, id, longBody)
					looksWhole := got.err == nil && got.status == http.StatusOK
					if looksWhole != again || w.runsOf(id) > 1 != again {
						wrong++
						continue
					}
					w.assertBroken(is, path, id, got)
				}
				t.Logf("%d of %d answers were wrong", wrong, earlyResets)
				is.Equal(wrong, 0)
				is.Equal(strings.Contains(w.logs.String(), " via="), tunnel)
			})
		}
	}
}

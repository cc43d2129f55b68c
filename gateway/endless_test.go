package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/openai"
)

// endlessAnswers are answers of back ends that do not end, each with what is repeated; %s stands for the request's id.
var endlessAnswers = []struct {
	name, begin, repeated string
	mode                  brokenMode
}{
	{"body", "\r\n", "a", brokenMode{kind: config.KindService}},
	{"body with a length", "Content-Length: 1000000000000\r\n\r\n", "a", brokenMode{kind: config.KindService}},
	{"head", "", "X-Filler: a\r\n", brokenMode{kind: config.KindService}},
	{"line", "\r\ndata: ", "a", brokenMode{kind: config.KindEngine, stream: true}},
	{"lines", "\r\n", "note: a\n", brokenMode{kind: config.KindEngine, stream: true}},
	{"line, not streamed", "\r\ndata: ", "a", brokenMode{kind: config.KindEngine}},
	{"events, not streamed", "\r\n", "data: {\"id\":\"%s\",\"model\":\"m@v1\",\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}\n\n", brokenMode{kind: config.KindEngine}},
}

// startEndless starts a back end that answers without end.
func startEndless(t *testing.T, begin, repeated string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+begin)
				piece := strings.Repeat(strings.ReplaceAll(repeated, "%s", req.Header.Get(openai.HeaderRequestID)), 1+16<<10/len(repeated))
				for err == nil {
					_, err = io.WriteString(conn, piece)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// peakMemory calls f and returns how much more memory than before is in use at most meanwhile.
func peakMemory(f func()) int64 {
	inUse := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse + m.StackInuse)
	}
	runtime.GC()
	before := inUse()
	var peak atomic.Int64
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak.Store(max(peak.Load(), inUse()))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	<-sampled
	return peak.Load() - before
}

// endlessCallers is how many requests await an answer that does not end at a time.
const endlessCallers = 24

// Guards against back ends that send without end filling the memory, and against other callers being failed by them.
func TestAnswersWithoutEndDoNotFillTheMemory(t *testing.T) {
	for _, tt := range endlessAnswers {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := oneModelConfig(backendSpec{"a", "fd-1", tt.mode.kind, startEndless(t, tt.begin, tt.repeated)})
			d := testDeps(doc, clockwork.NewRealClock())
			d.Timeouts = Timeouts{FirstToken: 2 * time.Second, Idle: 2 * time.Second, Unary: 2 * time.Second}
			scope := tally.NewTestScope("", nil)
			d.Scope = scope
			d.AnswerMemory = membudget.New(16 << 20)
			srv := serveGateway(t, d)
			memory := peakMemory(func() {
				var wg sync.WaitGroup
				for range endlessCallers {
					wg.Go(func() {
						if got := tt.mode.send(t, srv, ""); tt.mode.whole(got) {
							t.Errorf("whole answer: %s", fmt.Sprint(got.status))
						}
					})
				}
				wg.Wait()
			})
			t.Logf("%.1f MB more in use", float64(memory)/(1<<20))
			is.True(memory < 64<<20) // half of a small process's memory
			is.Equal(d.AnswerMemory.Used(), int64(0))
			is.True(counted(scope, "broken_answers") >= endlessCallers)
		})
	}
}

package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/answertest"
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
	return answertest.StartEndless(t, "HTTP/1.1 200 OK\r\n"+begin, func(r *http.Request) string {
		return strings.ReplaceAll(repeated, "%s", r.Header.Get(openai.HeaderRequestID))
	})
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
			memory := answertest.PeakMemory(func() {
				var wg sync.WaitGroup
				for range endlessCallers {
					wg.Go(func() {
						if got := tt.mode.send(t, srv, ""); tt.mode.whole(got) {
							t.Error("an answer without end is whole")
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

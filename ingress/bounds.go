package ingress

import (
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/answerbuf"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is returned.
	maxAnswerBytes = 8 << 20
	// maxCopyBytes bounds the discarded answer of a copy. Those of trials are streams of up to four
	// seconds, of some hundred KB.
	maxCopyBytes = 1 << 20
)

// readAnswer reads the whole body. Its memory is held until releaseAnswer.
func (x *exchange) readAnswer(c *upstreamCall) ([]byte, error) {
	x.releaseAnswer() // of an earlier attempt
	x.answer = answerbuf.New(x.server.AnswerMemory, maxAnswerBytes)
	length := c.resp.Length
	if c.resp.Body == http.NoBody {
		length = 0 // the head of an answer to HEAD may tell another
	}
	if err := x.answer.Read(c.resp.Body, length); err != nil {
		x.releaseAnswer()
		return nil, err
	}
	return x.answer.Bytes, x.checkEnd(c)
}

// releaseAnswer gives back the memory of a buffered answer once it is written or not used.
func (x *exchange) releaseAnswer() {
	if x.answer.Held() > 0 {
		x.answer.Release()
	}
}

// endBroken ends a call whose answer broke off or is not valid, and records why.
func (x *exchange) endBroken(c *upstreamCall, err error) {
	outcome := place.Broken
	c.bound = upstream.BoundOf(err)
	x.server.faults.note(err, call.Clip(x.metadata.ID), c.endpoint.ID)
	if c.bound == upstream.AnswersMemory && c.resp.Length >= 0 {
		outcome = place.Abandoned // other answers fill the memory
	}
	x.end(c, outcome, err.Error())
}

// faultLog logs and counts answers that exceed a bound or are not valid. It is safe for concurrent use.
type faultLog struct {
	clock clockwork.Clock
	log   *slog.Logger
	scope tally.Scope

	mu      sync.Mutex
	logged  map[string]time.Time // by bound or defect
	skipped map[string]int
}

// faultLogInterval is the least time between two log lines of one bound or defect. The requests' own lines have
// that of each attempt.
const faultLogInterval = time.Second

func newFaultLog(clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *faultLog {
	return &faultLog{clock: clock, log: log, scope: scope, logged: map[string]time.Time{}, skipped: map[string]int{}}
}

// note records the bound or the defect that an error reports, and returns whether it reports one.
func (f *faultLog) note(err error, request string, endpoint fleet.EndpointID) bool {
	if bound := upstream.BoundOf(err); bound != "" {
		f.record("ingress: answer exceeds its bound; connection closed.", "bounds_exceeded_total", "bound", string(bound), request, endpoint)
		return true
	}
	if defect := upstream.DefectOf(err); defect != "" {
		f.record("ingress: answer is not valid; connection closed.", "invalid_answers_total", "defect", string(defect), request, endpoint)
		return true
	}
	return false
}

func (f *faultLog) record(message, counter, tag, what, request string, endpoint fleet.EndpointID) {
	f.scope.Tagged(map[string]string{tag: what}).Counter(counter).Inc(1)
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.logged[what]; ok && now.Sub(last) < faultLogInterval {
		f.skipped[what]++
		return
	}
	f.log.Warn(message, tag, what, "id", request, "endpoint", endpoint, "not_logged", f.skipped[what])
	f.logged[what], f.skipped[what] = now, 0
}

// copyOutcome returns the outcome of a discarded answer. Only an exceeded bound or an answer that is not valid counts
// for its endpoint.
func (s *Server) copyOutcome(sent sentRequest, ep fleet.Endpoint, err error) place.Outcome {
	if s.faults.note(err, sent.id, ep.ID) {
		return place.Broken
	}
	return place.Abandoned
}

// handedOffBody returns the body of another entry's answer. It has as many bytes as the entry may buffer,
// unless it is a stream, whose events the entry bounds.
func (x *exchange) handedOffBody(resp *upstream.Response) io.Reader {
	if x.route.Kind == fleet.Streaming {
		return resp.Body
	}
	return &boundedReader{r: resp.Body, left: maxAnswerBytes}
}

// boundedReader fails with AnswerBytes if there are more bytes than left.
type boundedReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), b.left+1)])
	if b.left -= n; b.left < 0 {
		return 0, &upstream.BoundError{Bound: upstream.AnswerBytes}
	}
	return n, err
}

// noteHandoffFault records that another entry's answer exceeded a bound or is not valid, if so.
func (x *exchange) noteHandoffFault(err error, entry string) {
	x.server.faults.note(err, call.Clip(x.metadata.ID), fleet.EndpointID(entry))
}

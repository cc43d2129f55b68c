package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is returned.
	maxAnswerBytes = 8 << 20
	// maxCopyBytes bounds the discarded answer of a copy. Those of trials are streams of up to four
	// seconds, of some hundred KB.
	maxCopyBytes = 1 << 20
	// shortAnswerBytes is the size up to which answers may use all of the memory for answers. Longer ones
	// leave shortAnswerShare of it, so that answers without end do not keep out short ones.
	shortAnswerBytes = 64 << 10
	shortAnswerShare = 0.25
	// firstAnswerBuffer is the first buffer of an answer of unknown length.
	firstAnswerBuffer = 4 << 10
)

// reserveAnswer takes n bytes for an answer that has held bytes, which it is to give back, and reports whether there
// was room.
func reserveAnswer(m *membudget.Budget, n, held int64) bool {
	if n > shortAnswerBytes {
		return m.ReserveWithin(n, held, 1-shortAnswerShare)
	}
	return m.Reserve(n)
}

// answerBuffer holds a buffered answer. Its memory is reserved before it is allocated.
type answerBuffer struct {
	memory *membudget.Budget
	bytes  []byte
	held   int64
}

// grow makes room for more bytes.
func (a *answerBuffer) grow(size int64) error {
	if size > maxAnswerBytes {
		return &upstream.BoundError{Bound: upstream.AnswerBytes}
	}
	if !reserveAnswer(a.memory, size, a.held) {
		return &upstream.BoundError{Bound: upstream.AnswersMemory}
	}
	grown := make([]byte, len(a.bytes), size)
	copy(grown, a.bytes)
	a.memory.Release(a.held)
	a.bytes, a.held = grown, size
	return nil
}

// release gives the memory back; the bytes must not be used afterwards.
func (a *answerBuffer) release() {
	a.memory.Release(a.held)
	a.bytes, a.held = nil, 0
}

// read reads a whole body of a length; negative: unknown.
func (a *answerBuffer) read(r io.Reader, length int64) error {
	if length >= 0 {
		if err := a.grow(length); err != nil {
			return err
		}
		n, err := io.ReadFull(r, a.bytes[:length])
		a.bytes = a.bytes[:n]
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		if len(a.bytes) == maxAnswerBytes {
			return expectEnd(r)
		}
		if len(a.bytes) == cap(a.bytes) {
			if err := a.grow(min(max(firstAnswerBuffer, 2*int64(cap(a.bytes))), maxAnswerBytes)); err != nil {
				return err
			}
		}
		n, err := r.Read(a.bytes[len(a.bytes):cap(a.bytes)])
		a.bytes = a.bytes[:len(a.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// expectEnd returns nil if nothing follows in a body of maxAnswerBytes.
func expectEnd(r io.Reader) error {
	switch _, err := io.ReadFull(r, make([]byte, 1)); {
	case err == nil:
		return &upstream.BoundError{Bound: upstream.AnswerBytes}
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

// readAnswer reads the whole body. Its memory is held until releaseAnswer.
func (x *exchange) readAnswer(c *upstreamCall) ([]byte, error) {
	x.releaseAnswer() // of an earlier attempt
	x.answer.memory = x.server.AnswerMemory
	length := c.resp.Length
	if c.resp.Body == http.NoBody {
		length = 0 // the head of an answer to HEAD may tell another
	}
	if err := x.answer.read(c.resp.Body, length); err != nil {
		x.releaseAnswer()
		return nil, err
	}
	return x.answer.bytes, x.checkEnd(c)
}

// releaseAnswer gives back the memory of a buffered answer once it is written or not used.
func (x *exchange) releaseAnswer() {
	if x.answer.held > 0 {
		x.answer.release()
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

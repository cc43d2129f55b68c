package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// answer is a sink that keeps an answer: for rating, and to put a streamed
// one together for a caller who asked for it whole.
type answer struct {
	rid      string
	asStream bool // how the back end is asked

	chunks  [][]byte // streamed: the events' data
	content strings.Builder
	last    openai.Chunk
	body    []byte // whole: the back end's body
}

// needsWhole are the request fields whose answers have parts that cannot be
// put together from streamed text; with them a caller who did not ask to
// stream gets the back end's own whole answer.
var needsWhole = []string{"tools", "functions", "n", "logprobs"}

// newAnswer returns an empty answer to q. Engines are asked to stream even
// for a caller who wants the answer whole: a stream shows within the first
// token timeout that the engine is silent, a whole answer only after minutes.
func newAnswer(q *request) *answer {
	a := &answer{rid: q.rid, asStream: true}
	for _, f := range needsWhole {
		if _, ok := q.fields[f]; ok && !q.stream {
			a.asStream = false
		}
	}
	return a
}

func (a *answer) streams() bool { return a.asStream }

func (a *answer) event(data []byte, ch *openai.Chunk) bool {
	a.chunks = append(a.chunks, append([]byte(nil), data...))
	for _, c := range ch.Choices {
		a.content.WriteString(c.Delta.Content)
	}
	if ch.Usage != nil || len(ch.Choices) > 0 && ch.Choices[0].FinishReason != nil {
		a.last = *ch
	}
	return false
}

func (a *answer) whole(_ *http.Response, body []byte, b route.BackendInfo) (int, error) {
	var ans openai.ChatResponse
	if err := json.Unmarshal(body, &ans); err != nil {
		return 0, err
	}
	if ans.ID != "" && ans.ID != a.rid || !rightModel(ans.Model, b) {
		return 0, errForeign
	}
	a.body = body
	for _, c := range ans.Choices {
		a.content.WriteString(c.Message.Content)
	}
	return ans.Usage.CompletionTokens, nil
}

func (a *answer) reset() {
	a.chunks, a.body, a.last = nil, nil, openai.Chunk{}
	a.content.Reset()
}

func (a *answer) text() string { return a.content.String() }

// wholeBody is the answer as one chat completion.
func (a *answer) wholeBody(q *request) []byte {
	if a.body != nil {
		return a.body
	}
	out := openai.ChatResponse{ID: q.rid, Object: "chat.completion", Model: a.last.Model,
		Choices: []openai.Choice{{Message: openai.Message{Role: "assistant", Content: a.text()}, FinishReason: "stop"}},
		Usage:   openai.Usage{CompletionTokens: len(a.chunks), TotalTokens: len(a.chunks)}}
	if len(a.last.Choices) > 0 && a.last.Choices[0].FinishReason != nil {
		out.Choices[0].FinishReason = *a.last.Choices[0].FinishReason
	}
	if a.last.Usage != nil {
		out.Usage = *a.last.Usage
	}
	b, _ := json.Marshal(out) // strings and numbers only: it cannot fail
	return b
}

// output is the sink whose answer goes to the caller: event by event when
// the caller streams, at its end otherwise.
type output struct {
	g   *Gateway
	q   *request
	dec *route.Decision
	*answer
	begun bool
}

func (g *Gateway) newOutput(q *request, dec *route.Decision) *output {
	o := &output{g: g, q: q, dec: dec, answer: newAnswer(q)}
	if len(dec.Candidates) > 0 && dec.Candidates[0].Kind != config.KindEngine {
		o.asStream = q.stream // only engines are sure to stream
	}
	return o
}

// event implements sink. A streamed event goes straight on; of the text only
// what the rater may want is kept.
func (o *output) event(data []byte, ch *openai.Chunk) bool {
	if !o.q.stream {
		return o.answer.event(data, ch)
	}
	o.begin()
	writeEvent(o.q.c.Writer, data)
	for _, c := range ch.Choices {
		if o.content.Len() < ratedText {
			o.content.WriteString(c.Delta.Content)
		}
	}
	return true
}

func (o *output) begin() {
	if o.begun {
		return
	}
	o.begun = true
	o.g.lastIfStopping(o.q.c)
	o.q.c.Header("Content-Type", "text/event-stream")
	o.q.c.Header("Cache-Control", "no-cache")
	o.q.c.Status(http.StatusOK)
}

// takeOver gives the caller an answer that was kept until now.
func (o *output) takeOver(a *answer) {
	if !o.q.stream {
		o.answer = a
		return
	}
	o.begin()
	for _, data := range a.chunks {
		writeEvent(o.q.c.Writer, data)
	}
}

// finish sends the end of a whole answer.
func (o *output) finish() {
	if !o.q.stream {
		o.g.lastIfStopping(o.q.c)
		o.q.c.Data(http.StatusOK, "application/json", o.wholeBody(o.q))
		return
	}
	o.begin()
	writeEvent(o.q.c.Writer, doneMarker)
}

// breakOff tells a caller whose answer broke off that it did, in band: the
// status line is long gone, and waiting would be silence.
func (o *output) breakOff(code string) {
	o.g.Scope.Tagged(map[string]string{"code": code}).Counter("stream_errors").Inc(1)
	b, _ := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{Type: openai.OutcomeUnknown, Code: code,
		Message: "the answer broke off after it began; the request may have run"}})
	writeEvent(o.q.c.Writer, b)
}

// eventWriter is what an SSE event is written to.
type eventWriter interface {
	http.ResponseWriter
	http.Flusher
}

func writeEvent(w eventWriter, data []byte) {
	_, _ = w.Write(dataPrefix)
	_, _ = w.Write(data)
	_, _ = w.Write([]byte("\n\n"))
	w.Flush()
}

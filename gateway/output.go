package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/answerbuf"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// bufferedAnswer is a sink that keeps an answer in memory: for rating, and to
// assemble a streamed one for a caller who did not ask to stream.
type bufferedAnswer struct {
	rid       string
	askStream bool // whether the back end is asked to stream

	memory  answerbuf.Account // of chunks and content
	chunks  [][]byte          // streamed: the data of each event
	content strings.Builder
	last    openai.Chunk
	body    []byte // not streamed: the back end's body
}

// Memory of an event: its data, the text of it twice as the buffer for it grows, and what points to them.
const (
	eventCost     = 3
	eventOverhead = 64
)

// unstreamableFields are the request fields whose answers have parts that cannot
// be assembled from streamed text. If one is present and the caller did not ask
// to stream, the back end is not asked to stream either.
var unstreamableFields = []string{"tools", "functions", "n", "logprobs"}

// newBufferedAnswer returns an empty answer to q. Engines are asked to stream even
// if the caller did not ask to: a stream reveals a silent engine within the first-token
// timeout, a non-streamed answer only after minutes.
//
// Its memory is held until the request ends.
func (g *Gateway) newBufferedAnswer(q *request) *bufferedAnswer {
	a := &bufferedAnswer{rid: q.rid, askStream: true, memory: answerbuf.NewAccount(g.AnswerMemory, maxAnswerBody)}
	q.atEnd(a.memory.Release)
	for _, f := range unstreamableFields {
		if _, ok := q.fields[f]; ok && !q.stream {
			a.askStream = false
		}
	}
	return a
}

func (a *bufferedAnswer) streams() bool { return a.askStream }

func (a *bufferedAnswer) event(data []byte, ch *openai.Chunk) (bool, error) {
	if err := a.memory.Add(eventCost*int64(len(data)) + eventOverhead); err != nil {
		return false, err
	}
	a.chunks = append(a.chunks, append([]byte(nil), data...))
	for _, c := range ch.Choices {
		a.content.WriteString(c.Delta.Content)
	}
	if ch.Usage != nil || len(ch.Choices) > 0 && ch.Choices[0].FinishReason != nil {
		a.last = *ch
	}
	return false, nil
}

func (a *bufferedAnswer) complete(_ *http.Response, body []byte, b route.BackendInfo) (int, error) {
	var ans openai.ChatResponse
	if err := json.Unmarshal(body, &ans); err != nil {
		return 0, err
	}
	if ans.ID != "" && ans.ID != a.rid || !modelMatches(ans.Model, b) {
		return 0, errMismatchedAnswer
	}
	a.body = body
	for _, c := range ans.Choices {
		a.content.WriteString(c.Message.Content)
	}
	return ans.Usage.CompletionTokens, nil
}

func (a *bufferedAnswer) reset() {
	a.chunks, a.body, a.last = nil, nil, openai.Chunk{}
	a.content.Reset()
	a.memory.Release()
}

func (a *bufferedAnswer) text() string { return a.content.String() }

// completion is the answer as the body of a non-streamed chat completion.
func (a *bufferedAnswer) completion(q *request) []byte {
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
	b, _ := json.Marshal(out) // cannot fail: strings and numbers only
	return b
}

// output is the sink that writes to the caller: event by event if the caller
// streams, otherwise at the end of the answer.
type output struct {
	g   *Gateway
	q   *request
	dec *route.Decision
	*bufferedAnswer
	wroteHeader bool
}

func (g *Gateway) newOutput(q *request, dec *route.Decision) *output {
	o := &output{g: g, q: q, dec: dec, bufferedAnswer: g.newBufferedAnswer(q)}
	if len(dec.Candidates) > 0 && dec.Candidates[0].Kind != config.KindEngine {
		o.askStream = q.stream // plain services may not support streaming
	}
	return o
}

// event implements sink. For a streaming caller it writes the event at once and
// keeps only as much text as the rater needs.
func (o *output) event(data []byte, ch *openai.Chunk) (bool, error) {
	if !o.q.stream {
		return o.bufferedAnswer.event(data, ch)
	}
	o.writeHeader()
	writeEvent(o.q.c.Writer, data)
	for _, c := range ch.Choices {
		if o.content.Len() < maxRatedText {
			o.content.WriteString(c.Delta.Content)
		}
	}
	return true, nil
}

func (o *output) writeHeader() {
	if o.wroteHeader {
		return
	}
	o.wroteHeader = true
	o.g.closeConnIfStopping(o.q.c)
	o.q.c.Header("Content-Type", "text/event-stream")
	o.q.c.Header("Cache-Control", "no-cache")
	o.q.c.Status(http.StatusOK)
}

// replay sends the caller an answer that was buffered.
func (o *output) replay(a *bufferedAnswer) {
	if !o.q.stream {
		o.bufferedAnswer = a
		return
	}
	o.writeHeader()
	for _, data := range a.chunks {
		writeEvent(o.q.c.Writer, data)
	}
}

// finish ends a complete answer: with the end marker if the caller streams,
// otherwise with the whole body.
func (o *output) finish() {
	if !o.q.stream {
		o.g.closeConnIfStopping(o.q.c)
		o.q.c.Data(http.StatusOK, "application/json", o.completion(o.q))
		return
	}
	o.writeHeader()
	writeEvent(o.q.c.Writer, doneMarker)
}

// abort reports in band that a streamed answer broke off: the status line has
// already been sent, and without this event the caller would get no notice.
func (o *output) abort(code string) {
	o.g.Scope.Tagged(map[string]string{"code": code}).Counter("stream_errors").Inc(1)
	b, _ := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{Type: openai.OutcomeUnknown, Code: code,
		Message: "the answer broke off after it began; the request may have run"}})
	writeEvent(o.q.c.Writer, b)
}

// eventWriter is a response writer for SSE events.
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

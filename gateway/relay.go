package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// sseScanBuffer is the first size of the line buffer; lines may grow to
// sseMaxLine. Small to start, since ~100 streams are in flight per entry.
const (
	sseScanBuffer = 4 << 10
	sseMaxLine    = 1 << 20
	maxWhole      = 16 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// errForeign is an answer, or a piece of one, that belongs to another
// request or was made by another version than the one asked for.
var errForeign = errors.New("the back end sent another request's or version's answer")

// relayStream copies a back end's events to the sink, each checked to be of
// this request and this version.
func (g *Gateway) relayStream(resp *http.Response, q *request, b route.BackendInfo, wd *watchdog, s sink) attempt {
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, sseScanBuffer), sseMaxLine)
	var a attempt
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		wd.timer.Reset(g.Timeouts.Idle)
		if bytes.Equal(data, doneMarker) {
			a.whole = true
			return a
		}
		var ch openai.Chunk
		if err := json.Unmarshal(data, &ch); err != nil || ch.ID != q.rid || !rightModel(ch.Model, b) {
			g.Log.Error("gateway: a back end sent another request's or version's chunk; cutting the stream.",
				"backend", b.Name, "request", q.rid, "chunk_id", ch.ID, "chunk_model", ch.Model)
			a.code, a.err = "mismatched_chunk", errForeign
			return a
		}
		a.tokens++
		a.started = s.event(data, &ch)
	}
	a.code, a.err = "stream_cut", errors.New("the stream ended before its end marker")
	if wd.fired.Load() {
		a.code = "backend_silent"
	}
	return a
}

// rightModel checks the model name on an answer; services need not give one.
func rightModel(name string, b route.BackendInfo) bool {
	return name == "" || name == b.Serves()
}

func relayWhole(resp *http.Response, b route.BackendInfo, s sink) attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errors.New("the answer is too large")
	}
	if err == nil {
		var tokens int
		if tokens, err = s.whole(resp, body, b); err == nil {
			return attempt{whole: true, tokens: tokens}
		}
	}
	return attempt{code: "bad_answer", err: fmt.Errorf("%s: %w", b.Name, err)}
}

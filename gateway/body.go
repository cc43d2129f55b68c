package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

const (
	// maxRequestBody bounds a request body; the largest prompts (dossiers) are tens of kilobytes.
	maxRequestBody = 4 << 20
	// bodyCost is the memory of a byte of a body: as sent, and as sent on.
	bodyCost = 2
	// valueCost is the memory of a member or an element of a body, as decoded and as encoded again.
	valueCost = 384
	// largeBody is the memory from which bodies leave a part of BodyMemory to smaller ones.
	largeBody      = 256 << 10
	largeBodyShare = 0.5
)

// errBodyMemory: the bodies of other requests fill the memory.
var errBodyMemory = errors.New("bodies fill the memory")

// bodyMemory is what is reserved for the body of one request.
type bodyMemory struct {
	budget   *membudget.Budget
	pool     *listen.Pool
	reserved int64
}

// reserve takes n bytes more, and reports whether there was room.
func (m *bodyMemory) reserve(n int64) bool {
	share := 1.0
	if m.reserved+n > largeBody {
		share = largeBodyShare
	}
	take := func() bool { return m.budget.ReserveWithin(n, m.reserved, share) }
	if !take() && (m.pool == nil || !m.pool.Reserve(take)) {
		return false
	}
	m.reserved += n
	return true
}

func (m *bodyMemory) release() { m.budget.Release(m.reserved) }

// countedReader reserves memory for what is read.
type countedReader struct {
	io.Reader
	memory *bodyMemory
}

// Read implements io.Reader. The buffers of io.ReadAll grow to at most twice what was read.
func (r countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if !r.memory.reserve(2 * int64(n)) {
		return 0, errBodyMemory
	}
	return n, err
}

// readBody reads a request body of up to maxRequestBody bytes. Its memory is released when the request ends.
func (g *Gateway) readBody(c *gin.Context) ([]byte, *route.Refusal) {
	memory := &bodyMemory{budget: g.BodyMemory, pool: g.Connections}
	c.Set(bodyMemoryKey, memory)
	length := c.Request.ContentLength
	if length > maxRequestBody {
		return nil, errTooLarge
	}
	if length > 0 && !memory.reserve(bodyCost*length) {
		return nil, errMemory
	}
	var in io.Reader = io.LimitReader(c.Request.Body, maxRequestBody+1)
	if length < 0 {
		in = countedReader{in, memory}
	}
	stop := drain.InterruptReading(c.Request.Context(), c.Writer)
	body, err := readSized(in, length)
	stop()
	switch {
	case errors.Is(err, errBodyMemory), errors.Is(err, listen.ErrNoMemory):
		return nil, errMemory
	case err != nil && cutByDrain(c):
		return nil, errDraining
	case err != nil:
		return nil, badRequest(err.Error())
	case len(body) > maxRequestBody:
		return nil, errTooLarge
	}
	return body, nil
}

// readSized reads all of r, into a buffer of the given size unless that is negative.
func readSized(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	raw := make([]byte, size)
	_, err := io.ReadFull(r, raw)
	return raw, err
}

// bodyMemoryKey is the key of a request's bodyMemory in its gin.Context.
const bodyMemoryKey = "body_memory"

// releaseBody releases the memory of a request's body.
func releaseBody(c *gin.Context) {
	if m, ok := c.Value(bodyMemoryKey).(*bodyMemory); ok {
		m.release()
	}
}

// reserveDecoded reserves memory for a body as it will be decoded.
func reserveDecoded(c *gin.Context, body []byte) *route.Refusal {
	m, ok := c.Value(bodyMemoryKey).(*bodyMemory)
	if !ok {
		return nil
	}
	cost := valueCost * int64(countValues(body))
	switch {
	case !m.budget.Fits(m.reserved + cost):
		return errTooLarge
	case !m.reserve(cost):
		return errMemory
	}
	return nil
}

// countValues returns how many members and elements a JSON text has, at least.
func countValues(text []byte) int {
	n, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && (c == ',' || c == '{' || c == '['):
			n++
		}
	}
	return n
}

// RefuseHead returns the refusal of a request for whose head there is no memory.
func RefuseHead() *listen.Refusal {
	const code = "heads_fill_memory"
	secs := int(noCapacityRetry.Seconds())
	body, err := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{Type: openai.OutcomeNotRun, Code: code, Message: "the heads of other requests fill the memory; the request did not run", RetryAfterSeconds: secs}})
	if err != nil {
		body = nil // the status is sufficient
	}
	h := http.Header{"Content-Type": {"application/json"}, "Retry-After": {strconv.Itoa(secs)}}
	resp := http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true}
	var raw bytes.Buffer
	_ = resp.Write(&raw) // writing to a buffer cannot fail
	return &listen.Refusal{Reason: code, Response: raw.Bytes()}
}

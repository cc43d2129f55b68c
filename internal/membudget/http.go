package membudget

import (
	"errors"
	"io"
	"net/http"
)

// ErrFull is the error of reads of a body for which there is no room.
var ErrFull = errors.New("bodies fill the memory")

// Bodies returns a handler that reads bodies of at most max bytes, and reserves cost bytes of memory for each byte that it
// reads of them. They are released when next has returned.
func Bodies(next http.Handler, max, cost int64, memory *Budget) http.Handler {
	return http.MaxBytesHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &countedBody{ReadCloser: r.Body, memory: memory, cost: cost}
		defer body.release()
		r.Body = body
		next.ServeHTTP(w, r)
	}), max)
}

// countedBody reserves memory for what is read.
type countedBody struct {
	io.ReadCloser
	memory         *Budget
	cost, reserved int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.memory.Reserve(b.cost * int64(n)) {
		return 0, ErrFull
	}
	b.reserved += b.cost * int64(n)
	return n, err
}

func (b *countedBody) release() { b.memory.Release(b.reserved) }

package mesh

import (
	"errors"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/upstream"
)

// Bounds of messages between entries. A snapshot of 10,000 endpoints takes up some 5 MB uncompressed, and
// far less as it is sent.
const (
	// maxMessageBytes bounds an exchange's message, maxOwnerBytes the answer of an owner of limits.
	maxMessageBytes = 16 << 20
	maxOwnerBytes   = 64 << 10
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 16 << 10
	// messageCost is the memory that a byte of a message takes while it is read and decoded.
	messageCost = 3
	// servedWithin bounds the time in which a peer sends its message, and takes the answer to it. An entry
	// waits for snapshotTimeout at most.
	servedWithin = 2 * snapshotTimeout
)

// errUnpackedTooLarge: a peer's changes exceed maxUnpackedBytes.
var errUnpackedTooLarge = errors.New("unpacked changes exceed their bound")

// newClient returns a client of other entries whose answers have bodies of at most max bytes.
func newClient(t *http.Transport, max int64) *http.Client {
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return upstream.NewClient(t, max)
}

// Bounded returns a handler that bounds the messages of other entries in bytes, in time, and in the memory that all of
// them take up. net/http resets the deadlines for the connection's next request.
func Bounded(next http.Handler, memory *membudget.Budget) http.Handler {
	return membudget.Bodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, deadline := http.NewResponseController(w), time.Now().Add(servedWithin)
		_ = conn.SetReadDeadline(deadline) // only test recorders do not support deadlines
		_ = conn.SetWriteDeadline(deadline)
		next.ServeHTTP(w, r)
	}), maxMessageBytes, messageCost, memory)
}

package egress

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/upstream"
)

// Guards against using answers of other entries that are not valid, and against refusing unusual ones: to whether they
// would open tunnels, and as the head of one.
func TestInvalidAnswersOfEntriesAreNotUsed(t *testing.T) {
	d := NewDialer(Deps{Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler)})
	answertest.CheckReader(t, "", "open", func(address string) error { return askPeer(context.Background(), d.asks, address, service) })
	answertest.CheckReader(t, "", "open", func(address string) error {
		conn, err := openTunnel(context.Background(), upstream.Dial, address, fleet.Endpoint{Address: "127.0.0.1:1"}, time.Second, http.Header{})
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

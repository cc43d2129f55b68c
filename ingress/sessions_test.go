package ingress_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// firstMovedSession returns a session that the first share of a roll-out would move.
func firstMovedSession() string {
	for i := 0; ; i++ {
		name := fmt.Sprint("s", i)
		if uint32(place.Hash(name)>>32) < 1<<26 {
			return name
		}
	}
}

// sessionLastActive returns when the only session that the entry reports was last active.
func (w *testEnv) sessionLastActive(is *is.I) time.Time {
	is.Helper()
	_, _, sessions := w.rolloutController.Snapshot()
	is.Equal(len(sessions), 1)
	return time.Now().Add(-sessions[0].Ago)
}

// Guards against a session changing its version in the first half of a roll-out. A
// stream lasts longer than the session lifetime, and the session's next request comes
// shortly after its end. It went to the new version because the session counted as
// active at the stream's first event, not until its end.
func TestSessionIsActiveUntilItsStreamEnds(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 0)
	const pause = 50 * time.Millisecond
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Events: 10, Pause: pause})
	w.sync()
	resp, err := http.DefaultClient.Do(w.request(http.MethodPost, "/once/stream", "body", "Session", firstMovedSession()))
	is.NoErr(err)
	defer resp.Body.Close()
	events := bufio.NewScanner(resp.Body)
	is.True(events.Scan())
	activeAtFirstEvent := w.sessionLastActive(is)
	for events.Scan() {
	}
	is.NoErr(events.Err())
	is.True(w.sessionLastActive(is).Sub(activeAtFirstEvent) > pause)
}

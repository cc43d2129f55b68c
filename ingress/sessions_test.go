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

// movedFirst is a session that a roll-out's first share would move.
func movedFirst() string {
	for i := 0; ; i++ {
		name := fmt.Sprint("s", i)
		if uint32(place.Hash(name)>>32) < 1<<26 {
			return name
		}
	}
}

// keptAt is when the only session that is told was last under way.
func (w *world) keptAt(is *is.I) time.Time {
	is.Helper()
	_, _, sessions := w.orders.Tell()
	is.Equal(len(sessions), 1)
	return time.Now().Add(-sessions[0].Ago)
}

// Symptom: requests run on another version than the one before in their session,
// in the first half of a roll-out.
// Events: a stream lasts longer than a session is kept; the session's next request
// comes a moment after its end, and is sent to the new version.
// Cause: the session counted as under way from the stream's first event on, not
// until its end.
func TestASessionIsUnderWayUntilItsStreamEnds(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	const between = 50 * time.Millisecond
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Events: 10, Pause: between})
	w.sync()
	resp, err := http.DefaultClient.Do(w.request(http.MethodPost, "/once/stream", "body", "Session", movedFirst()))
	is.NoErr(err)
	defer resp.Body.Close()
	events := bufio.NewScanner(resp.Body)
	is.True(events.Scan())
	first := w.keptAt(is)
	for events.Scan() {
	}
	is.NoErr(events.Err())
	is.True(w.keptAt(is).Sub(first) > between)
}

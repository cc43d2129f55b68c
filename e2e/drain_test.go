package e2e

import (
	"bufio"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestPlannedStopCutsNoStream: invariant 9. Symptom: a caller's answer
// stops halfway when an entry is replaced. Sequence: a streamed request is
// in flight; the platform sends the entry SIGTERM (a planned stop). Cause,
// in a server that closes on the signal: the open stream is cut. Here the
// entry turns unready, refuses new work, waits for requests in flight, and
// only then closes; the stream ends with [DONE].
func TestPlannedStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	c := startClusterStep(t, "20ms")
	const tokens = 40 // ~0.8 s of streaming
	resp := chat(t, c.entryURL, "ka", "m", true, tokens)
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	got, done, signalled := 0, false, false
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			done = true
			break
		}
		is.True(!strings.Contains(line, `"error"`))
		got++
		if !signalled {
			// The first token has arrived: the request is in flight.
			is.NoErr(c.entry.cmd.Process.Signal(syscall.SIGTERM))
			signalled = true
		}
	}
	is.True(signalled)
	is.True(done) // the stream was not cut by the stop
	is.Equal(got, tokens)
	is.NoErr(c.entry.cmd.Wait()) // and the entry then exited cleanly
}

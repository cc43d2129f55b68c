package e2e

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
)

// TestPlannedStopLeavesNoCallerWithoutAnswer: invariant 9 and the promise of
// no silence, where a planned stop can't let everything finish. Symptom:
// callers' connections close without an answer, the requests are not billed,
// and the process exits with an error. Sequence: a stream and a posting are in
// flight that take far longer than drain_timeout; the platform sends SIGTERM.
// Cause: nothing ends requests when the stop's time is over, so the server waits
// for them until the process is made to exit: it cuts them off, and never comes
// to write its billing records. Here both callers are told that their request
// may have run, the stream in band and without [DONE]; both are billed so, and
// the posting keeps its claim.
func TestPlannedStopLeavesNoCallerWithoutAnswer(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 1, step: "20ms", work: "1h", drain: "1s"})
	const endless = 1_000_000 // tokens: more than five hours
	type posted struct {
		status int
		body   string
		err    error
	}
	posting := make(chan posted, 1)
	go func() {
		var p posted
		p.status, p.body, p.err = c.tryPost(0, "k1", "reminder-1")
		posting <- p
	}()
	eventually(t, "the posting has reached the service", func() bool { return len(c.executions(t)) == 1 })

	a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: endless, onFirst: func() { c.entries[0].signal(t, syscall.SIGTERM) }})
	is.NoErr(a.err) // the stream was ended, not cut off
	is.True(!a.done)
	is.True(strings.Contains(a.inBand, openai.OutcomeUnknown))
	is.True(strings.Contains(a.inBand, "entry_stopped")) // the true cause
	p := <-posting
	is.NoErr(p.err)
	is.Equal(p.status, http.StatusGatewayTimeout)
	is.True(strings.Contains(p.body, openai.OutcomeUnknown))
	is.True(strings.Contains(p.body, "entry_stopped"))

	is.NoErr(c.entries[0].cmd.Wait()) // and the entry then exited cleanly
	bills := c.billed(t)
	is.Equal(len(bills), 2)
	is.Equal(bills[a.rid].Tokens(), len(a.chunks))
	for _, b := range bills {
		is.Equal(b.Outcome, ledger.OutcomeUnknown)
	}
	_, claims, err := etcdv3.New("http://"+c.kv, nil).Get(context.Background(), idem.Prefix+"allowed/k1", false)
	is.NoErr(err)
	is.Equal(len(claims), 1) // a repeat must not run
}

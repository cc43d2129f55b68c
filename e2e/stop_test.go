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

// Invariant 9, and the rule that every caller gets a response, for requests that
// outlast a planned stop. Guards against connections that close without a response,
// requests that are not billed and a process that exits with an error: unless
// requests are ended when drain_timeout has passed, the server waits for them until
// it is forced to exit, cuts them off and never writes its billing records. Here a
// stream and a posting take far longer than drain_timeout. Both callers are told
// that their request may have run, the stream in band and without [DONE]; both are
// billed with that outcome, and the posting keeps its claim.
func TestPlannedStopLeavesNoCallerWithoutAnswer(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1, step: "20ms", work: "1h", drainTimeout: "1s"})
	const endless = 1_000_000 // tokens; they take more than five hours
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

	a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: endless, onFirstChunk: func() { c.entries[0].signal(t, syscall.SIGTERM) }})
	is.NoErr(a.err) // the stream was ended by the entry, not cut off
	is.True(!a.done)
	is.True(strings.Contains(a.inBandError, openai.OutcomeUnknown))
	is.True(strings.Contains(a.inBandError, "entry_stopped")) // the actual cause
	p := <-posting
	is.NoErr(p.err)
	is.Equal(p.status, http.StatusGatewayTimeout)
	is.True(strings.Contains(p.body, openai.OutcomeUnknown))
	is.True(strings.Contains(p.body, "entry_stopped"))

	is.NoErr(c.entries[0].cmd.Wait()) // the entry exited cleanly
	records := c.billingRecords(t)
	is.Equal(len(records), 2)
	is.Equal(records[a.requestID].Tokens(), len(a.chunks))
	for _, r := range records {
		is.Equal(r.Outcome, ledger.OutcomeUnknown)
	}
	_, claims, err := etcdv3.New("http://"+c.kv, nil).Get(context.Background(), idem.Prefix+"allowed/k1", false)
	is.NoErr(err)
	is.Equal(len(claims), 1) // a repeated request must not be executed
}

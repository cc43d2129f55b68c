package e2e

import (
	"context"
	"encoding/json"
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
// no silence, where a planned stop can't let everything finish.
func TestPlannedStopLeavesNoCallerWithoutAnswer(t *testing.T) {
	t.Run("what is in flight when its time is over", stopEndsWhatIsInFlight)
	t.Run("what comes after its beginning", stopRefusesWhatComesLater)
}

// Symptom: callers' connections close without an answer, the requests are
// not billed, and the process exits with an error. Sequence: a stream and a
// posting are in flight that take far longer than drain_timeout; the
// platform sends SIGTERM. Cause: nothing ends requests when the stop's time
// is over, so the server waits for them until the process is made to exit:
// it cuts them off, and never comes to write its billing records. Here both
// callers are told that their request may have run, the stream in band and
// without [DONE]; both are billed so, and the posting keeps its claim.
func stopEndsWhatIsInFlight(t *testing.T) {
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

// Symptom: callers find connections refused or closed at every planned stop,
// while other entries would serve them. Sequence: an entry with nothing in
// flight gets SIGTERM; the balancer, which has not looked yet, still sends it
// a new connection. Cause: the entry exits at once. And a caller that is
// refused keeps its connection, since the refusal doesn't tell that it ends:
// its next request may cross the close and is lost. Here the refusal comes,
// says not run, and that the connection ends with it.
func stopRefusesWhatComesLater(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 1})
	url := c.entries[0].url
	c.entries[0].signal(t, syscall.SIGTERM)
	status := http.StatusOK
	eventually(t, "the entry has begun to stop", func() bool {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			status = 0
			return true
		}
		resp.Body.Close()
		status = resp.StatusCode
		return status != http.StatusOK
	})
	is.Equal(status, http.StatusServiceUnavailable) // it still answers the balancer

	fresh := &http.Client{Transport: &http.Transport{}}
	resp, err := fresh.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","messages":[]}`))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close) // the caller is to come back on another connection
	is.True(resp.Header.Get("Retry-After") != "")
	var body openai.ErrorBody
	is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
	is.Equal(body.Error.Type, openai.OutcomeNotRun)
	is.NoErr(c.entries[0].cmd.Wait())
}

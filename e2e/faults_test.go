package e2e

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/engine"
	"github.com/lovageweir/lovageweir/standin/service"
)

// Invariant 9. Guards against a response that is cut off when its entry is
// replaced, as in a server that closes its connections on SIGTERM. The entry
// becomes unready, refuses new requests, waits for those in flight and only then
// closes; the stream ends with [DONE], and it is billed before the entry exits.
func TestPlannedStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1, step: "20ms"})
	const tokens = 40 // about 0.8 s of streaming
	a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: tokens, onFirstChunk: func() { c.entries[0].signal(t, syscall.SIGTERM) }})
	is.True(a.done) // the stream was not cut by the stop
	is.Equal(a.inBandError, "")
	is.Equal(len(a.chunks), tokens)
	is.NoErr(c.entries[0].cmd.Wait()) // the entry exited cleanly
	is.Equal(c.billingRecords(t)[a.requestID].Tokens(), tokens)
}

func (c *cluster) billingRecords(t *testing.T) map[string]ledger.Record {
	t.Helper()
	records, _, err := ledger.Read(context.Background(), etcdv3.New("http://"+c.kv, nil))
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against requests that are refused for the whole of a KV outage, as by an
// entry that calls the KV for each request or drops its configuration when a watch
// fails. The data path makes no KV call, the last accepted configuration stays in
// force, and the requests are billed when the KV is available again.
func TestEntryServesDuringKVOutage(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1})
	putJSON(t, "http://"+c.kv+"/fault", `{"down":true}`)
	var requestIDs []string
	for range 5 {
		a := c.chat(t, 0, request{key: "ka", model: "m", tokens: 3})
		is.Equal(a.status, http.StatusOK)
		requestIDs = append(requestIDs, a.requestID)
	}
	a := c.chat(t, 0, request{key: "kn", model: "m", tokens: 3})
	is.Equal(a.status, http.StatusForbidden) // the allow list still holds
	putJSON(t, "http://"+c.kv+"/fault", `{}`)
	eventually(t, "all five requests are billed", func() bool {
		records := c.billingRecords(t)
		for _, requestID := range requestIDs {
			if _, ok := records[requestID]; !ok {
				return false
			}
		}
		return true
	})
}

// Invariant 4. Guards against requests that are never billed because their entry
// crashed and billing records existed only there. The entry is killed after one
// response and during another; its peer holds copies of both records and bills
// them, the interrupted one as outcome_unknown. The caller of that one sees the
// connection break, never a response that looks complete.
func TestKilledEntryIsBilledByItsPeer(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, step: "20ms"})
	eventually(t, "the entries know each other", func() bool { return len(c.dump(t, 0).Peers.Live) == 1 && len(c.dump(t, 1).Peers.Live) == 1 })
	first := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 3})
	is.True(first.done)
	broken := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 200, onFirstChunk: func() {
		eventually(t, "the peer holds a copy of the open request", func() bool { return c.dump(t, 1).Ledger.OwnersOpen == 1 })
		c.entries[0].signal(t, syscall.SIGKILL)
	}})
	is.True(!broken.done)
	eventually(t, "both requests are billed", func() bool {
		records := c.billingRecords(t)
		return records[first.requestID].Outcome == ledger.OutcomeOK && records[broken.requestID].Outcome == ledger.OutcomeUnknown
	})
	is.Equal(len(c.billingRecords(t)), 2)
}

// Guards against a caller that waits indefinitely for the rest of a stream after the
// engine's connection broke or went silent. Without the idle timeout, only the
// caller's own timeout would end the request.
func TestBrokenStreamEndsWithInBandError(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1})
	for fault, code := range map[string]string{`{"cut_after":5}`: "stream_cut", `{"silent_after":5}`: "backend_silent"} {
		putJSON(t, "http://"+c.engines["v1"]+"/fault", fault)
		a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 10})
		is.Equal(len(a.chunks), 5)
		is.True(!a.done)
		is.True(strings.Contains(a.inBandError, code))
	}
}

// Invariants 2 and 10. Guards against requests to a version that was withdrawn while
// the entry was paused (SIGSTOP). Once a request has been routed under the new
// configuration, none goes to v1 again. That even the first request after the pause
// waits for the current configuration is tested with a fake clock in
// configwatch.TestResumedEntryRefreshesBeforeServing.
func TestPausedEntryCatchesUp(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1})
	version := func() string {
		return c.chat(t, 0, request{key: "ka", model: "m", tokens: 2}).header.Get(openai.HeaderVersion)
	}
	is.Equal(version(), "v1")
	c.entries[0].signal(t, syscall.SIGSTOP)
	c.apply(t, withdrawV1Config)
	c.entries[0].signal(t, syscall.SIGCONT)
	eventually(t, "work goes to v2", func() bool { return version() == "v2" })
	for range 10 {
		is.Equal(version(), "v2")
	}
}

const withdrawV1Config = "models: {m: {versions: {v1: {state: withdrawn, weight: 0}, v2: {state: active, weight: 1}}}}"

// Invariant 3. Guards against a session that is served by v1 and then by v2. A
// session begins on one entry, the weights move all new sessions to v2, and the
// session continues through another entry on v1. When v1 is withdrawn, the session
// gets an error instead of another version.
func TestSessionKeepsVersionAcrossEntriesAndReportsWithdrawal(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2})
	first := c.chat(t, 0, request{key: "ka", model: "m", tokens: 2, session: "s"})
	sessionToken := first.header.Get(openai.HeaderSessionToken)
	is.True(sessionToken != "")
	c.apply(t, "models: {m: {versions: {v1: {state: active, weight: 0}, v2: {state: active, weight: 1}}}}")
	eventually(t, "new sessions go to v2", func() bool {
		return c.chat(t, 1, request{key: "ka", model: "m", tokens: 2, session: "new"}).header.Get(openai.HeaderVersion) == "v2"
	})
	is.Equal(c.chat(t, 1, request{key: "ka", model: "m", tokens: 2, session: "s", sessionToken: sessionToken}).header.Get(openai.HeaderVersion), "v1")
	c.apply(t, withdrawV1Config)
	eventually(t, "the session is told that its version is withdrawn", func() bool {
		a := c.chat(t, 1, request{key: "ka", model: "m", tokens: 2, session: "s", sessionToken: sessionToken})
		return a.status == http.StatusConflict && strings.Contains(string(a.body), "version_withdrawn")
	})
}

// Invariant 8. Guards against new requests to an endpoint that is being removed. The
// platform's instance list, which lags, marks one of two back ends as leaving; both
// entries must learn of it, which they would not if no entry read the list.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, config: "models: {m: {versions: {v1: {weight: 1}, v2: {weight: 1}}}}"})
	putJSON(t, "http://"+c.instances+openai.PathInstances, `[{"name":"e-v1","kind":"endpoint","state":"leaving"}]`)
	eventually(t, "both entries know it leaves", func() bool {
		return c.dump(t, 0).Endpoints.Backends["e-v1"].Leaving && c.dump(t, 1).Endpoints.Backends["e-v1"].Leaving
	})
	before := c.servedRequests(t, "v1")
	for i := range 20 {
		a := c.chat(t, i%2, request{key: "ka", model: "m", tokens: 2, session: string(rune('a' + i))})
		is.True(a.header.Get(openai.HeaderBackend) != "e-v1")
	}
	is.Equal(c.servedRequests(t, "v1"), before)
}

func (c *cluster) servedRequests(t *testing.T, version string) int64 {
	t.Helper()
	var st engine.State
	getJSON(t, "http://"+c.engines[version]+"/debug/state", &st)
	return st.Served
}

// Guards against a bad version that stays in use until an operator acts, as without
// a guard or with one that depends on the KV. Half of the sessions go to v2, whose
// answers get the lowest ratings; only one of two entries serves them, and the KV is
// down. The entry halts v2, its peer learns of it, new sessions go to v1, and the
// halt is stored when the KV is available again.
func TestBadVersionIsHaltedEverywhere(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, rater: `{"m@v1":0.9,"m@v2":-1}`,
		config: "models: {m: {versions: {v1: {weight: 1}, v2: {weight: 1, guard: {baseline: v1, min_score: 0.5}}}}}"})
	putJSON(t, "http://"+c.kv+"/fault", `{"down":true}`)
	halted := func(e int) bool { return c.dump(t, e).Guard["m@v2#0"].Halted }
	sent := 0
	eventually(t, "the serving entry halts v2", func() bool {
		c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 1, session: time.Now().String()})
		sent++
		return halted(0)
	})
	is.True(sent < 200)
	eventually(t, "its peer knows", func() bool { return halted(1) })
	before := c.servedRequests(t, "v2")
	for i := range 20 {
		is.Equal(c.chat(t, 1, request{key: "ka", model: "m", tokens: 1, session: string(rune('a' + i))}).status, http.StatusOK)
	}
	is.Equal(c.servedRequests(t, "v2"), before)
	putJSON(t, "http://"+c.kv+"/fault", `{}`)
	eventually(t, "the halt is in the KV", func() bool { return c.dump(t, 0).Guard["m@v2#0"].Stored })
}

// Invariants 1 and 2. Guards against an engine that goes on serving its previous
// version after the configuration assigns another one to it while requests arrive.
// The engine refuses requests for a version that it has not loaded, and an entry
// orders it to load the new one.
func TestEngineLoadsConfiguredVersion(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2})
	c.apply(t, "models: {m: {versions: {v1: {state: withdrawn, weight: 0}, v2: {weight: 1}}}}\nbackends: {e-v1: {version: v2}}")
	eventually(t, "the engine has loaded v2", func() bool {
		for i := range c.entries {
			if a := c.chat(t, i, request{key: "ka", model: "m", tokens: 1}); a.header.Get(openai.HeaderVersion) == "v2" {
				is.True(a.status != http.StatusOK || strings.Contains(string(a.body), "m@v2"))
			}
		}
		var st engine.State
		getJSON(t, "http://"+c.engines["v1"]+"/debug/state", &st)
		return st.Loaded == "m@v2"
	})
}

// Invariant 10. Guards against entries that keep an old configuration for good
// because every KV watch went silent before the configuration changed.
func TestConfigurationArrivesDespiteStalledWatches(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3})
	putJSON(t, "http://"+c.kv+"/fault", `{"stall_watches":true}`)
	for i := range 3 { // watches opened before the fault still deliver events
		c.apply(t, strings.Repeat("\n", i))
	}
	c.apply(t, withdrawV1Config)
	eventually(t, "every entry has the newest revision", func() bool {
		revs := map[int64]bool{}
		for i := range c.entries {
			revs[int64(c.dump(t, i).Config.Revision)] = true
		}
		return len(revs) == 1 && c.chat(t, 2, request{key: "ka", model: "m", tokens: 1}).header.Get(openai.HeaderVersion) == "v2"
	})
}

// Invariants 6 and 7. Guards against a posting that is executed twice or never. The
// response to the first is lost after its execution, and its caller repeats it
// through the other entry; without claims visible to all entries, the repeat would
// be executed. The second is refused by the service and repeated, and the third is
// sent while the KV's responses to writes are lost.
func TestPostingRunsOnceAcrossEntries(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2})
	svc := "http://" + c.service
	putJSON(t, svc+"/fault", `{"lose_answers":true}`)
	status, body := c.post(t, 0, "k1", "reminder-1")
	is.Equal(status, http.StatusGatewayTimeout)
	is.True(strings.Contains(body, openai.OutcomeUnknown)) // the caller is told that it may have run, and it did
	putJSON(t, svc+"/fault", `{}`)
	status, body = c.post(t, 1, "k1", "reminder-1")
	is.Equal(status, http.StatusConflict)
	is.True(strings.Contains(body, "duplicate_request"))

	putJSON(t, svc+"/fault", `{"refuse":true}`)
	status, body = c.post(t, 0, "k2", "reminder-2")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, openai.OutcomeNotRun))
	putJSON(t, svc+"/fault", `{}`)
	eventually(t, "the refused posting can be repeated", func() bool {
		status, _ := c.post(t, 1, "k2", "reminder-2")
		return status == http.StatusOK
	})

	putJSON(t, "http://"+c.kv+"/fault", `{"drop_acks":true}`)
	eventually(t, "a posting runs although the KV loses its answers", func() bool {
		status, _ := c.post(t, 0, "k3", "reminder-3")
		return status == http.StatusOK
	})
	count := map[string]int{}
	for _, x := range c.executions(t) {
		count[x]++
	}
	is.Equal(count, map[string]int{"reminder-1": 1, "reminder-2": 1, "reminder-3": 1})
}

func (c *cluster) post(t *testing.T, entry int, key, body string) (int, string) {
	t.Helper()
	status, responseBody, err := c.tryPost(entry, key, body)
	if err != nil {
		t.Fatal(err)
	}
	return status, responseBody
}

// tryPost is like post, but returns an error if the connection breaks.
func (c *cluster) tryPost(entry int, key, body string) (int, string, error) {
	req, _ := http.NewRequest(http.MethodPost, c.entries[entry].url+"/v1/services/postings/send", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer ka")
	req.Header.Set(openai.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b := new(strings.Builder)
	_, err = copyBody(b, resp)
	return resp.StatusCode, b.String(), err
}

func (c *cluster) executions(t *testing.T) []string {
	t.Helper()
	var st service.State
	getJSON(t, "http://"+c.service+"/debug/state", &st)
	var out []string
	for _, r := range st.Ran {
		out = append(out, r.Body)
	}
	return out
}

// Guards against a failure domain that stops serving because its entries are
// replaced during a KV outage. One of two entries is killed and restarted without
// any state while the KV is down; it gets the configuration from its peer, because
// the KV cannot provide it.
func TestReplacedEntryServesDuringKVOutage(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2})
	putJSON(t, "http://"+c.kv+"/fault", `{"down":true}`)
	c.entries[1].signal(t, syscall.SIGKILL)
	_ = c.entries[1].cmd.Wait()
	c.entries[1].restart(t)
	waitHTTP(t, c.entries[1].url+"/readyz")
	is.Equal(c.chat(t, 1, request{key: "ka", model: "m", tokens: 2}).status, http.StatusOK)
	is.Equal(c.dump(t, 1).Config.Revision, c.dump(t, 0).Config.Revision)
}

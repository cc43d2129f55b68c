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

// TestPlannedStopCutsNoStream: invariant 9. Symptom: a caller's answer
// stops halfway when an entry is replaced. Sequence: a streamed request is
// in flight; the platform sends the entry SIGTERM (a planned stop). Cause,
// in a server that closes on the signal: the open stream is cut. Here the
// entry turns unready, refuses new work, waits for requests in flight, and
// only then closes; the stream ends with [DONE]. What it served is billed
// before it exits.
func TestPlannedStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 1, step: "20ms"})
	const tokens = 40 // ~0.8 s of streaming
	a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: tokens, onFirst: func() { c.entries[0].signal(t, syscall.SIGTERM) }})
	is.True(a.done) // the stream was not cut by the stop
	is.Equal(a.inBand, "")
	is.Equal(len(a.chunks), tokens)
	is.NoErr(c.entries[0].cmd.Wait()) // and the entry then exited cleanly
	is.Equal(c.billed(t)[a.rid].Tokens(), tokens)
}

func (c *cluster) billed(t *testing.T) map[string]ledger.Record {
	t.Helper()
	recs, _, err := ledger.Read(context.Background(), etcdv3.New("http://"+c.kv, nil))
	if err != nil {
		t.Fatal(err)
	}
	return recs
}

// TestKVOutageKeepsServing: symptom: callers refused while the platform's
// KV service is down, though nothing changed. Sequence: configuration is
// applied, then the KV goes down (every call refused), callers keep
// asking. Cause, in an entry that needs the KV per request or drops its
// configuration on a failed watch: refusals for the whole outage. Here the
// data path makes no KV call and the last accepted configuration stays in
// force; what was served is billed when the KV is back.
func TestKVOutageKeepsServing(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 1})
	putJSON(t, "http://"+c.kv+"/fault", `{"down":true}`)
	var rids []string
	for range 5 {
		a := c.chat(t, 0, request{key: "ka", model: "m", tokens: 3})
		is.Equal(a.status, http.StatusOK)
		rids = append(rids, a.rid)
	}
	a := c.chat(t, 0, request{key: "kn", model: "m", tokens: 3})
	is.Equal(a.status, http.StatusForbidden) // the allow list still holds
	putJSON(t, "http://"+c.kv+"/fault", `{}`)
	eventually(t, "all five requests are billed", func() bool {
		recs := c.billed(t)
		for _, rid := range rids {
			if _, ok := recs[rid]; !ok {
				return false
			}
		}
		return true
	})
}

// TestKilledEntryIsBilledByItsPeer: invariant 4. Symptom: a customer is
// never billed for what an entry served just before it crashed. Sequence: an
// entry ends one answer and is streaming another when it is killed. Cause,
// if records lived in the entry only: both are lost. Here its peer holds
// copies and bills both, the broken one as outcome_unknown, and its caller
// sees the connection break, never an answer that looks whole.
func TestKilledEntryIsBilledByItsPeer(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2, step: "20ms"})
	eventually(t, "the entries know each other", func() bool { return len(c.dump(t, 0).Peers.Live) == 1 && len(c.dump(t, 1).Peers.Live) == 1 })
	first := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 3})
	is.True(first.done)
	broken := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 200, onFirst: func() {
		eventually(t, "the peer holds a copy of the open request", func() bool { return c.dump(t, 1).Ledger.OwnersOpen == 1 })
		c.entries[0].signal(t, syscall.SIGKILL)
	}})
	is.True(!broken.done)
	eventually(t, "both requests are billed", func() bool {
		recs := c.billed(t)
		return recs[first.rid].Outcome == ledger.OutcomeOK && recs[broken.rid].Outcome == ledger.OutcomeUnknown
	})
	is.Equal(len(c.billed(t)), 2)
}

// TestBrokenStreamIsToldInBand: symptom: a caller waits for the rest of an
// answer that will never come. Sequence: an engine's connection breaks, or
// goes silent for good, in the middle of a stream. Cause, without the idle
// timeout: only the caller's patience ends it.
func TestBrokenStreamIsToldInBand(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 1})
	for fault, code := range map[string]string{`{"cut_after":5}`: "stream_cut", `{"silent_after":5}`: "backend_silent"} {
		putJSON(t, "http://"+c.engines["v1"]+"/fault", fault)
		a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: 10})
		is.Equal(len(a.chunks), 5)
		is.True(!a.done)
		is.True(strings.Contains(a.inBand, code))
	}
}

// TestPausedEntryCatchesUp: invariants 2 and 10. Symptom: a version withdrawn
// minutes ago gets new work. Sequence: an entry is paused (SIGSTOP), the
// operator withdraws v1 in favour of v2, the entry resumes. Once a request
// has been decided under the new configuration none goes back to v1. (That
// even the first one asks is proved on a fake clock:
// configwatch.TestPausedEntryAsksBeforeItServes.)
func TestPausedEntryCatchesUp(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 1})
	version := func() string {
		return c.chat(t, 0, request{key: "ka", model: "m", tokens: 2}).header.Get(openai.HeaderVersion)
	}
	is.Equal(version(), "v1")
	c.entries[0].signal(t, syscall.SIGSTOP)
	c.apply(t, withdrawV1)
	c.entries[0].signal(t, syscall.SIGCONT)
	eventually(t, "work goes to v2", func() bool { return version() == "v2" })
	for range 10 {
		is.Equal(version(), "v2")
	}
}

const withdrawV1 = "models: {m: {versions: {v1: {state: withdrawn, weight: 0}, v2: {state: active, weight: 1}}}}"

// TestSessionOutlivesItsEntryAndIsToldOfWithdrawal: invariant 3. Symptom: a
// session is answered by v1 and then by v2. Sequence: a session begins on
// one entry, the weights move all new sessions to v2, the session goes on
// through another entry; then v1 is withdrawn. It stays on v1, and is then
// told so rather than switched.
func TestSessionOutlivesItsEntryAndIsToldOfWithdrawal(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2})
	first := c.chat(t, 0, request{key: "ka", model: "m", tokens: 2, session: "s"})
	pins := first.header.Get(openai.HeaderSessionToken)
	is.True(pins != "")
	c.apply(t, "models: {m: {versions: {v1: {state: active, weight: 0}, v2: {state: active, weight: 1}}}}")
	eventually(t, "new sessions go to v2", func() bool {
		return c.chat(t, 1, request{key: "ka", model: "m", tokens: 2, session: "new"}).header.Get(openai.HeaderVersion) == "v2"
	})
	is.Equal(c.chat(t, 1, request{key: "ka", model: "m", tokens: 2, session: "s", pins: pins}).header.Get(openai.HeaderVersion), "v1")
	c.apply(t, withdrawV1)
	eventually(t, "the session is told that its version is withdrawn", func() bool {
		a := c.chat(t, 1, request{key: "ka", model: "m", tokens: 2, session: "s", pins: pins})
		return a.status == http.StatusConflict && strings.Contains(string(a.body), "version_withdrawn")
	})
}

// TestLeavingEndpointGetsNoNewWork: invariant 8. Symptom: work goes on
// reaching an endpoint that is being taken away. Sequence: the platform's
// list, with its lag, names one of two back ends as leaving; two entries
// serve. Cause, if nobody read the list: its word never arrives.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2, config: "models: {m: {versions: {v1: {weight: 1}, v2: {weight: 1}}}}"})
	putJSON(t, "http://"+c.instances+openai.PathInstances, `[{"name":"e-v1","kind":"endpoint","state":"leaving"}]`)
	eventually(t, "both entries know it leaves", func() bool {
		return c.dump(t, 0).Endpoints.Backends["e-v1"].Leaving && c.dump(t, 1).Endpoints.Backends["e-v1"].Leaving
	})
	before := c.ran(t, "v1")
	for i := range 20 {
		a := c.chat(t, i%2, request{key: "ka", model: "m", tokens: 2, session: string(rune('a' + i))})
		is.True(a.header.Get(openai.HeaderBackend) != "e-v1")
	}
	is.Equal(c.ran(t, "v1"), before)
}

func (c *cluster) ran(t *testing.T, version string) int64 {
	t.Helper()
	var st engine.State
	getJSON(t, "http://"+c.engines[version]+"/debug/state", &st)
	return st.Served
}

// TestBadVersionIsHaltedEverywhere: symptom: customers go on getting drafts
// of a version that turned bad. Sequence: half of the sessions go to v2,
// whose answers the rater finds useless; only one of two entries serves
// them, and the KV is down. Cause, without a guard, or with one that needs
// the KV: exposure lasts until an operator acts. Here v2 is halted, the peer
// hears of it, new sessions go to v1, and the halt is in the KV when it is
// back.
func TestBadVersionIsHaltedEverywhere(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2, rater: `{"m@v1":0.9,"m@v2":-1}`,
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
	before := c.ran(t, "v2")
	for i := range 20 {
		is.Equal(c.chat(t, 1, request{key: "ka", model: "m", tokens: 1, session: string(rune('a' + i))}).status, http.StatusOK)
	}
	is.Equal(c.ran(t, "v2"), before)
	putJSON(t, "http://"+c.kv+"/fault", `{}`)
	eventually(t, "the halt is in the KV", func() bool { return c.dump(t, 0).Guard["m@v2#0"].Stored })
}

// TestEngineIsBroughtToItsVersion: invariants 1 and 2. Symptom: an engine
// goes on answering with a version that it should no longer serve. Sequence:
// the configuration gives an engine another version, while requests come.
// No request is answered by the version it had: the engine refuses a name it
// has not loaded, and an entry orders it to load the new one.
func TestEngineIsBroughtToItsVersion(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2})
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

// TestSilentWatchesAreRepaired: invariant 10. Symptom: entries serve an old
// configuration for good. Sequence: every watch at the KV goes silent, then
// the configuration changes.
func TestSilentWatchesAreRepaired(t *testing.T) {
	c := startCluster(t, plan{entries: 3})
	putJSON(t, "http://"+c.kv+"/fault", `{"stall_watches":true}`)
	for i := range 3 { // watches opened before the fault go on delivering
		c.apply(t, strings.Repeat("\n", i))
	}
	c.apply(t, withdrawV1)
	eventually(t, "every entry has the newest revision", func() bool {
		revs := map[int64]bool{}
		for i := range c.entries {
			revs[int64(c.dump(t, i).Config.Revision)] = true
		}
		return len(revs) == 1 && c.chat(t, 2, request{key: "ka", model: "m", tokens: 1}).header.Get(openai.HeaderVersion) == "v2"
	})
}

// TestPostingRunsOnceAcrossEntries: invariants 6 and 7. Symptom: a tenant is
// reminded twice, or never. Sequence: a posting's answer is lost after it
// ran, and its caller repeats it through the other entry; another is refused
// by the service and repeated; the KV's answers are lost all the while for a
// third. Cause, without claims that all entries see: the repeat runs.
func TestPostingRunsOnceAcrossEntries(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2})
	svc := "http://" + c.service
	putJSON(t, svc+"/fault", `{"lose_answers":true}`)
	status, body := c.post(t, 0, "k1", "reminder-1")
	is.Equal(status, http.StatusGatewayTimeout)
	is.True(strings.Contains(body, openai.OutcomeUnknown)) // it may have run, and did
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
	status, answer, err := c.tryPost(entry, key, body)
	if err != nil {
		t.Fatal(err)
	}
	return status, answer
}

// tryPost is post where the connection may break; err says so.
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
	_, err = copyAll(b, resp)
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

// TestReplacedEntryServesThroughAnOutage: symptom: a failure domain goes
// dark when its entries are replaced while the KV is down. Sequence: the KV
// goes down, one of two entries is killed and started anew with nothing.
// Cause, if only the KV had the configuration: the new one has none. Here it
// takes it from its peer.
func TestReplacedEntryServesThroughAnOutage(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, plan{entries: 2})
	putJSON(t, "http://"+c.kv+"/fault", `{"down":true}`)
	c.entries[1].signal(t, syscall.SIGKILL)
	_ = c.entries[1].cmd.Wait()
	c.entries[1].restart(t)
	waitHTTP(t, c.entries[1].url+"/readyz")
	is.Equal(c.chat(t, 1, request{key: "ka", model: "m", tokens: 2}).status, http.StatusOK)
	is.Equal(c.dump(t, 1).Config.Revision, c.dump(t, 0).Config.Revision)
}

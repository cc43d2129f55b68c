package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/command/standin"
	"github.com/lovageweir/lovageweir/edge"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// edgeCluster is the platform's store, engines and entries, each in a process of
// its own.
type edgeCluster struct {
	t       *testing.T
	store   *platform.Store
	address string
	entries []*edgeEntry
	engines []*process
	limits  fleet.Limits
}

// edgeOptions describe an edgeCluster. Zero grace, work and events have defaults.
type edgeOptions struct {
	entries, engines int
	grace            time.Duration // between SIGTERM and SIGKILL
	work             time.Duration // processing time of a non-streamed request
	events           int           // per stream, 50 ms apart
	crashOn          string        // request body that crashes an engine
	limits           fleet.Limits  // of the configuration
	settings         string        // further lines of the entries' settings
	otherEndpoints   int           // registrations of other services, whose endpoints do not answer
}

type edgeEntry struct {
	*process
	callers, readiness, peers, metrics string
}

func newEdgeCluster(t *testing.T, options edgeOptions) *edgeCluster {
	t.Helper()
	options.grace = cmp.Or(options.grace, 8*time.Second)
	options.work = cmp.Or(options.work, time.Millisecond)
	options.events = cmp.Or(options.events, 20)
	bin, ctl := buildBinaries(t)
	c := &edgeCluster{t: t, address: freeAddr(t), limits: options.limits}
	startProcess(t, ctl, "standin", "platform-store", "--listen", c.address, "--endpoints", strconv.Itoa(options.otherEndpoints))
	c.store = platform.NewStore(c.address)
	eventually(t, "the store answers", func() bool {
		_, _, err := c.store.Get(context.Background(), "", true)
		return err == nil
	})
	c.configure(1)
	for i := range options.engines {
		c.engines = append(c.engines, startProcess(t, ctl, "standin", "platform-engine", "--listen", freeAddr(t), "--store", c.address, "--id", fmt.Sprintf("e%d", i),
			"--service", "svc", "--domain", "d1", "--events", strconv.Itoa(options.events), "--pause", "50ms", "--work", options.work.String(), "--faults", "0", "--crash-on", options.crashOn))
	}
	for i := range options.entries {
		e := &edgeEntry{callers: freeAddr(t), readiness: freeAddr(t), peers: freeAddr(t), metrics: freeAddr(t)}
		path := filepath.Join(t.TempDir(), "entry.yaml")
		settings := fmt.Sprintf("instance: i%d\ndomain: d1\nstore: %q\nlisten: {callers: %q, readiness: %q, peers: %q, loads: %q, metrics: %q}\nbounds: {grace_s: %v}\n%s",
			i, c.address, e.callers, e.readiness, e.peers, freeAddr(t), e.metrics, options.grace.Seconds(), options.settings)
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		e.process = startProcess(t, bin, "edge", "--settings", path)
		c.entries = append(c.entries, e)
	}
	for _, e := range c.entries {
		eventually(t, "an entry knows the engines", func() bool { return len(e.dump().endpoints()) == options.engines })
	}
	return c
}

func (c *edgeCluster) configure(version int64) {
	c.t.Helper()
	targets := []fleet.Target{{Service: "svc", Weight: 1}}
	cfg := &fleet.Config{Version: version, Limits: c.limits, Routes: []fleet.Route{
		{Name: "s", Host: "h.example", Prefix: "/s/", Kind: fleet.Streaming, Timeout: 20 * time.Second, Objective: 2 * time.Second, MaxGap: time.Second, MaxAttempts: 1, Targets: targets},
		{Name: "p", Host: "h.example", Prefix: "/p/", Kind: fleet.NonIdempotent, Timeout: time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 1, Targets: targets},
		{Name: "w", Host: "h.example", Prefix: "/w/", Kind: fleet.NonIdempotent, Timeout: 5 * time.Minute, Objective: 400 * time.Millisecond, MaxAttempts: 1, Targets: targets},
		{Name: "v", Host: "h.example", Prefix: fmt.Sprintf("/v%d/", version), Kind: fleet.Idempotent, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2, Targets: targets},
	}}
	if _, err := c.store.Put(context.Background(), "op/config", platformtest.EncodeConfig(cfg), 0); err != nil {
		c.t.Fatal(err)
	}
}

type edgeDump struct{ edge.Dump }

func (d edgeDump) endpoints() []fleet.Endpoint {
	for _, s := range d.Services {
		if s.Name == "svc" {
			return s.Ready
		}
	}
	return nil
}

func (e *edgeEntry) dump() edgeDump {
	var d edgeDump
	resp, err := http.Get("http://" + e.peers + "/debug/state")
	if err != nil {
		return d
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&d.Dump)
	return d
}

func (e *edgeEntry) request(path string) (status int, body string, err error) {
	return e.requestWith(path, "body")
}

func (e *edgeEntry) requestWith(path, requestBody string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, strings.NewReader(requestBody))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// Guards against a planned stop that cuts off streams. On SIGTERM during a stream
// the entry reports that it is not ready, completes the stream and then exits.
func TestEdgePlannedStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	c := newEdgeCluster(t, edgeOptions{entries: 1, engines: 1})
	e := c.entries[0]
	type result struct {
		body string
		err  error
	}
	results := make(chan result)
	go func() {
		_, body, err := e.request("/s/stream")
		results <- result{body, err}
	}()
	eventually(t, "the stream is on its way", func() bool { return e.dump().InFlight == 1 })
	e.signal(t, syscall.SIGTERM)
	eventually(t, "the entry is not ready", func() bool {
		resp, err := http.Get("http://" + e.readiness + "/ready")
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	r := <-results
	is.NoErr(r.err)
	is.Equal(r.body, platformtest.WholeStream(0, 20))
	is.NoErr(e.cmd.Wait()) // it exits on its own
}

// executedIDs kills an engine and returns the ids of the requests it has executed.
func executedIDs(t *testing.T, engine *process) map[string]bool {
	t.Helper()
	engine.signal(t, syscall.SIGKILL)
	_ = engine.cmd.Wait() // the error reports the kill
	ids := map[string]bool{}
	for line := range strings.Lines(engine.out.String()) {
		var printed standin.EngineLine
		if json.Unmarshal([]byte(line), &printed) == nil && printed.ID != "" {
			ids[printed.ID] = true
		}
	}
	return ids
}

// poster is a client that posts to an entry until its connections are refused.
type poster struct {
	client     *http.Client
	unanswered []string // posts whose connection ended without a complete response
	answered   int
}

func (p *poster) run(e *edgeEntry, name string) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		refused, err := p.post(e, id)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return
		case err != nil:
			p.unanswered = append(p.unanswered, id)
		case refused:
			time.Sleep(retryDelay)
		default:
			p.answered++
		}
	}
}

// retryDelay is how long a refused client waits before its next request.
const retryDelay = 50 * time.Millisecond

func (p *poster) post(e *edgeEntry, id string) (refused bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/p/x", strings.NewReader("body of "+id))
	if err != nil {
		return false, err
	}
	req.GetBody = nil // with GetBody, net/http may repeat the request
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining", "1000")
	resp, err := p.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusServiceUnavailable, err
}

// Guards against a booking that is made while its caller sees the connection close
// without a response, so that it cannot tell whether to book again. After SIGTERM a
// long stream keeps the entry running until its grace period is nearly over, and
// callers go on posting to it over kept and new connections, because the load
// balancer sends them there while most entries of the failure domain are stopping.
// The entry used to accept calls until its process ended, however long they might
// take; only streams that would not finish in time were refused. Log lines showed
// such requests ended by the stop 34 ms after they were accepted, with 800 ms allowed.
func TestEdgePlannedStopAnswersAcceptedRequests(t *testing.T) {
	is := is.New(t)
	c := newEdgeCluster(t, edgeOptions{entries: 1, engines: 1, grace: 3 * time.Second, work: 300 * time.Millisecond, events: 200})
	e := c.entries[0]
	go func() { _, _, _ = e.request("/s/stream") }() // it outlasts the grace period
	eventually(t, "the stream is on its way", func() bool { return e.dump().InFlight == 1 })
	var wg sync.WaitGroup
	posters := make([]poster, 6)
	for i := range posters {
		p := &posters[i]
		p.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
		wg.Go(func() { p.run(e, fmt.Sprintf("post%d", i)) })
	}
	e.signal(t, syscall.SIGTERM)
	wg.Wait()
	is.NoErr(e.cmd.Wait()) // it exits on its own
	executed := executedIDs(t, c.engines[0])
	for _, p := range posters {
		is.True(p.answered > 0)
		for _, id := range p.unanswered {
			if executed[id] {
				t.Errorf("request %s was executed, but its caller got no response", id)
			}
		}
	}
}

// A configuration change reaches all entries, whether they watch the store or not,
// and an entry that was killed restarts with the new configuration.
func TestEdgeConfigurationReachesAllEntries(t *testing.T) {
	is := is.New(t)
	c := newEdgeCluster(t, edgeOptions{entries: 5, engines: 1})
	for _, e := range c.entries {
		eventually(t, "entries know each other", func() bool { return len(e.dump().Entries) == 5 })
	}
	c.configure(2)
	for _, e := range c.entries {
		eventually(t, "version 2 is in force", func() bool { return e.dump().Config == 2 })
		status, body, err := e.request("/v2/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "answer to a1")
		status, _, err = e.request("/v1/x")
		is.NoErr(err)
		is.Equal(status, http.StatusNotFound)
	}
	e := c.entries[0]
	e.signal(t, syscall.SIGKILL)
	_ = e.cmd.Wait()
	e.restart(t)
	eventually(t, "the entry is back with version 2", func() bool { return e.dump().Config == 2 && len(e.dump().endpoints()) == 1 })
	status, _, err := e.request("/v2/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

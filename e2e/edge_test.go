package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/edge"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// edgeCluster is the platform's store, engines and entries, each a process.
type edgeCluster struct {
	t       *testing.T
	store   *platform.Store
	address string
	entries []*edgeEntry
}

type edgeEntry struct {
	*proc
	callers, readiness, peers string
}

func newEdgeCluster(t *testing.T, entries, engines int) *edgeCluster {
	t.Helper()
	bin, ctl := binaries(t)
	c := &edgeCluster{t: t, address: freeAddr(t)}
	start(t, ctl, "standin", "platform-store", "--listen", c.address)
	c.store = platform.NewStore(c.address)
	eventually(t, "the store answers", func() bool {
		_, _, err := c.store.Get(context.Background(), "", true)
		return err == nil
	})
	c.configure(1)
	for i := range engines {
		start(t, ctl, "standin", "platform-engine", "--listen", freeAddr(t), "--store", c.address, "--id", fmt.Sprintf("e%d", i),
			"--service", "svc", "--domain", "d1", "--events", "20", "--pause", "50ms", "--work", "1ms", "--faults", "0")
	}
	for i := range entries {
		e := &edgeEntry{callers: freeAddr(t), readiness: freeAddr(t), peers: freeAddr(t)}
		path := filepath.Join(t.TempDir(), "entry.yaml")
		settings := fmt.Sprintf("instance: i%d\ndomain: d1\nstore: %q\nlisten: {callers: %q, readiness: %q, peers: %q, loads: %q}\n",
			i, c.address, e.callers, e.readiness, e.peers, freeAddr(t))
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		e.proc = start(t, bin, "edge", "--settings", path)
		c.entries = append(c.entries, e)
	}
	for _, e := range c.entries {
		eventually(t, "an entry knows the engines", func() bool { return len(e.dump().endpoints()) == engines })
	}
	return c
}

func (c *edgeCluster) configure(version int64) {
	c.t.Helper()
	to := []fleet.Target{{Service: "svc", Weight: 1}}
	cfg := &fleet.Config{Version: version, Routes: []fleet.Route{
		{Name: "s", Host: "h.example", Prefix: "/s/", Kind: fleet.Streaming, Timeout: 20 * time.Second, Objective: 2 * time.Second, MaxGap: time.Second, MaxAttempts: 1, Targets: to},
		{Name: "v", Host: "h.example", Prefix: fmt.Sprintf("/v%d/", version), Kind: fleet.Idempotent, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2, Targets: to},
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
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, strings.NewReader("body"))
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

// Symptom: a planned stop cuts off streams.
// Events: SIGTERM while a stream is on its way; the entry says that it is not
// ready, serves on, and ends once the stream has.
func TestEdgePlannedStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	c := newEdgeCluster(t, 1, 1)
	e := c.entries[0]
	type result struct {
		body string
		err  error
	}
	got := make(chan result)
	go func() {
		_, body, err := e.request("/s/stream")
		got <- result{body, err}
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
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, platformtest.WholeStream(0, 20))
	is.NoErr(e.cmd.Wait()) // it ends by itself
}

// A change of the configuration reaches all entries, those that watch the
// store and those that do not, and an entry that is killed comes back with it.
func TestEdgeConfigurationReachesAllEntries(t *testing.T) {
	is := is.New(t)
	c := newEdgeCluster(t, 5, 1)
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

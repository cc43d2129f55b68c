package e2e

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/upstream"
)

// Guards against a quarantined request, one that crashes engines, being served
// again after all entries were killed at once.
func TestEdgeQuarantineSurvivesKillOfAllEntries(t *testing.T) {
	is := is.New(t)
	const poison = "poison"
	c := newEdgeCluster(t, edgeOptions{entries: 3, engines: 6, crashOn: poison})
	quarantined := func(e *edgeEntry) bool {
		status, body, err := e.requestWith("/s/stream", poison)
		return err == nil && status == http.StatusServiceUnavailable && strings.Contains(body, "quarantined")
	}
	for !quarantined(c.entries[0]) {
		is.True(c.runningEngines() >= 3) // it has crashed at most three engines
	}
	for _, e := range c.entries {
		eventually(t, "all entries know the record", func() bool { return len(e.dump().Quarantine.Quarantined) == 1 && e.dump().Quarantine.Recorded == 1 })
	}
	before := c.runningEngines()
	for _, e := range c.entries {
		e.signal(t, syscall.SIGKILL)
		_ = e.cmd.Wait() // the error reports the kill
	}
	for _, e := range c.entries {
		e.restart(t)
	}
	for _, e := range c.entries {
		eventually(t, "the entry knows its configuration", func() bool { return e.dump().Config == 1 })
		is.True(quarantined(e))
	}
	is.Equal(c.runningEngines(), before)
	eventually(t, "lawful requests are served", func() bool {
		status, _, err := c.entries[0].request("/v1/x")
		return err == nil && status == http.StatusOK
	})
}

// runningEngines returns how many engines still accept connections.
func (c *edgeCluster) runningEngines() int {
	n := 0
	for _, e := range c.engines {
		if upstream.Check(e.cmd.Args[slices.Index(e.cmd.Args, "--listen")+1]) == nil {
			n++
		}
	}
	return n
}

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

// Guards against a request that crashes engines getting through again after all entries were killed at once.
func TestEdgeQuarantineOutlivesAllEntries(t *testing.T) {
	is := is.New(t)
	const poison = "poison"
	c := newEdgeCluster(t, edgeOptions{entries: 3, engines: 6, crashOn: poison})
	quarantined := func(e *edgeEntry) bool {
		status, body, err := e.requestWith("/s/stream", poison)
		return err == nil && status == http.StatusServiceUnavailable && strings.Contains(body, "quarantined")
	}
	for !quarantined(c.entries[0]) {
		is.True(c.running() >= 3) // it has crashed no more than three
	}
	for _, e := range c.entries {
		eventually(t, "all entries know the record", func() bool { return len(e.dump().Quarantine.Quarantined) == 1 && e.dump().Quarantine.Recorded == 1 })
	}
	left := c.running()
	for _, e := range c.entries {
		e.signal(t, syscall.SIGKILL)
		_ = e.cmd.Wait() // it was killed
	}
	for _, e := range c.entries {
		e.restart(t)
	}
	for _, e := range c.entries {
		eventually(t, "the entry knows its configuration", func() bool { return e.dump().Config == 1 })
		is.True(quarantined(e))
	}
	is.Equal(c.running(), left)
	eventually(t, "lawful requests are served", func() bool {
		status, _, err := c.entries[0].request("/v1/x")
		return err == nil && status == http.StatusOK
	})
}

// running is how many engines have not ended.
func (c *edgeCluster) running() int {
	n := 0
	for _, e := range c.engines {
		if upstream.Check(e.cmd.Args[slices.Index(e.cmd.Args, "--listen")+1]) == nil {
			n++
		}
	}
	return n
}

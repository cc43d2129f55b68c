package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Loads of which entries must protect callers: a customer's surge, engines of unequal speed, callers that
// read slowly, and engines that send without end.
const (
	// surgeFor is how long a customer surges, and how long it is calm in between; at most one part of
	// surgeParts of a soak.
	surgeFor   = 11 * time.Second
	surgeParts = 4
	// surgeFactor is how many times its usual demand the customer sends then. It has one caller in
	// surgingEvery.
	surgeFactor  = 6
	surgingEvery = 8
	surgingIDs   = "x"
	surgingKey   = "surging-key"
	// surgeSettled is how long after the start or end of a surge requests are not compared.
	surgeSettled = 500 * time.Millisecond
	// minSurgeShare is the least share of other customers' requests served, of what it is without a surge.
	minSurgeShare = 0.97
	// surgeSlots and surgeCapacity are the requests that an engine runs and holds.
	surgeSlots, surgeCapacity = 8, 12

	// slowIDs begin the ids of callers that read slowly, one in slowReaderEvery. They read nothing for
	// slowReadPause; engines cut off streams that are not read for cutSlowAfter.
	slowIDs         = "l"
	slowReaderEvery = 4
	slowReadPause   = 1300 * time.Millisecond
	cutSlowAfter    = time.Second
	// slowEventBytes makes 20 events more than the buffers of all connections hold.
	slowEventBytes = 512 << 10
	slowReadBuffer = 16 << 10

	// endlessShare is the share of requests that are answered without end.
	endlessShare = 0.05
	// loadedEntryMemoryMB is the memory bound of entries where it is checked.
	loadedEntryMemoryMB = 144
)

// slowdowns are the percentages of the usual time that work takes at engines, in turn.
var slowdowns = []int{70, 70, 170}

// boundsMemory reports whether entries' memory is bounded and checked.
func (o Options) boundsMemory() bool { return o.SlowReaders || o.Endless || o.Misbehaving }

// engineArgs returns the arguments of an engine of a number that the loads call for.
func (o Options) engineArgs(number int) (args []string) {
	if o.Surge {
		args = append(args, "--slots", strconv.Itoa(surgeSlots), "--capacity", strconv.Itoa(surgeCapacity))
	}
	if o.Unequal {
		args = append(args, "--slowdown", strconv.Itoa(slowdowns[number%len(slowdowns)]))
	}
	if o.SlowReaders {
		args = append(args, "--event-bytes", strconv.Itoa(slowEventBytes), "--padded-ids", slowIDs, "--cut-slow", cutSlowAfter.String())
	}
	if o.Endless {
		args = append(args, "--endless", fmt.Sprint(endlessShare))
	}
	return args
}

// surge is the customer that surges.
type surge struct {
	on      bool
	lasts   time.Duration // a surge, and the calm before it
	started time.Time
}

// lasting reports whether the customer surges, and for how long that has been so or not.
func (u *surge) lasting(at time.Time) (is bool, since time.Duration) {
	d := at.Sub(u.started)
	return d/u.lasts%2 == 1, d % u.lasts
}

// surges starts the callers that send only while their customer surges.
func (s *callers) surges(ctx context.Context, n int, wg *sync.WaitGroup) {
	if !s.surge.on {
		return
	}
	for i := range n {
		for k := 1; k < surgeFactor && i%surgingEvery == 0; k++ {
			wg.Go(func() {
				for ctx.Err() == nil {
					part := time.Since(s.surge.started) / s.surge.lasts
					until := s.surge.started.Add((part + 1) * s.surge.lasts)
					if is, _ := s.surge.lasting(time.Now()); is {
						during, cancel := context.WithDeadline(ctx, until)
						s.runCaller(during, i+surgingEvery*n*(k+surgeFactor*int(part))) // a number of its own
						cancel()
						continue
					}
					wait(ctx, time.Until(until))
				}
			})
		}
	}
}

// readsSlowly reports whether the caller of a number reads slowly.
func (s *callers) readsSlowly(number int) bool { return s.slow && number%slowReaderEvery == 0 }

// idPrefix returns what the ids of a caller's requests begin with.
func (s *callers) idPrefix(number int) string {
	switch {
	case s.surge.on && number%surgingEvery == 0:
		return surgingIDs
	case s.readsSlowly(number):
		return slowIDs
	}
	return "r"
}

// newCallerClient returns a client with a connection of its own. That of a slow caller holds little.
func newCallerClient(slow bool) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	if slow {
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err == nil {
				err = conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
			}
			return conn, err
		}
	}
	return &http.Client{Transport: t}
}

// readAnswer reads an answer, and leaves out the comments that pad those of slow callers.
func readAnswer(id string, body io.Reader) ([]byte, error) {
	if !strings.HasPrefix(id, slowIDs) {
		return io.ReadAll(body)
	}
	time.Sleep(slowReadPause)
	raw, err := io.ReadAll(body)
	var out []byte
	for line := range strings.Lines(string(raw)) {
		if !strings.HasPrefix(line, ":") {
			out = append(out, line...)
		}
	}
	return out, err
}

// checkSurges compares what is served to other customers while one surges with the time between. Requests
// that met another fault are left out.
func (s *callers) checkSurges(f *faultInjector, runs *runLog) (finding string, surged, calm attemptCount) {
	if !s.surge.on {
		return "", surged, calm
	}
	last := runs.lastRuns()
	for _, q := range s.results {
		is, since := s.surge.lasting(q.started)
		if strings.HasPrefix(q.id, surgingIDs) || since < surgeSettled || f.interferedWith(q, last[q.id]) {
			continue
		}
		if is {
			surged.add(q)
		} else {
			calm.add(q)
		}
	}
	if surged.share() < minSurgeShare*calm.share() {
		finding = fmt.Sprintf("while a customer surged, %v requests of others were served, %v else", surged, calm)
	}
	return finding, surged, calm
}

// peakMB returns the most memory that an entry used, in MB.
func (c *cluster) peakMB() (peak int64) {
	for _, e := range c.entries {
		peak = max(peak, peakMemory(e.pid())>>20)
	}
	return peak
}

// Sent returns how many requests were sent.
func (c attemptCount) Sent() int { return c.sent }

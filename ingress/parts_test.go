package ingress_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
)

// Load of a storm: requests with a prompt part that crashes engines, no two alike, beside sound ones.
const (
	stormEntries   = 8
	stormEngines   = 9
	stormCalm      = 1500 * time.Millisecond // before the first request that crashes an engine
	stormFor       = 6 * time.Second
	soundInterval  = 15 * time.Millisecond
	deadlyInterval = 160 * time.Millisecond
	stormDowntime  = time.Second // of an engine after a crash
	stormWork      = 20 * time.Millisecond
	detectedAfter  = time.Second // after the fifth crash
	maxLate        = 3           // requests that reach engines after that
)

// partStorm is a fleet under a storm. Its parts that crash engines have the prefix "deadly".
type partStorm struct {
	*crashingFleet
	mu       sync.Mutex
	arrivals []time.Time // of requests that crash engines, at engines
	sound    []soundResult
}

type soundResult struct {
	at                  time.Time
	served, quarantined bool
}

// deadlyPrompt returns the prompt of the nth request that crashes engines, and the prompt of a sound
// one, from a first, a middle and a last part.
type deadlyPrompt func(n, first, middle, last int) string

func soundPrompt(first, middle, last int) string {
	return fmt.Sprintf("f%d:100,m%d:80,own%d:20", first, middle, last)
}

func newPartStorm(t *testing.T, unframed bool) *partStorm {
	t.Helper()
	s := &partStorm{crashingFleet: &crashingFleet{cluster: newClusterIn(t, stormEntries, 4, clockwork.NewRealClock())}}
	s.startEngines(stormEngines, platformtest.EngineConfig{Work: stormWork, Unframed: unframed, CrashOnPart: s.crashesOn})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for i, m := range s.meshes {
		go m.Run(ctx)
		go every(ctx, quarantine.Interval, func() { s.all[i].quarantine.Tick(ctx) })
	}
	return s
}

func every(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		time.Sleep(interval)
	}
}

// crashesOn records a request that crashes its engine.
func (s *partStorm) crashesOn(part string) bool {
	if !strings.HasPrefix(part, "deadly") {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	return true
}

// play plays the storm and returns when the fifth engine, or the last of fewer, crashed.
func (s *partStorm) play(prompt deadlyPrompt) (fifth time.Time) {
	ctx, stop := context.WithTimeout(context.Background(), stormCalm+stormFor)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		s.sendEvery(ctx, soundInterval, func(_, f, m, l int) string { return soundPrompt(f, m, l) }, true)
	})
	wg.Go(func() {
		time.Sleep(stormCalm)
		s.sendEvery(ctx, deadlyInterval, prompt, false)
	})
	crashedAt := map[*platformtest.Process]time.Time{}
	for counted := 0; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if n := s.crashes(); n > counted {
			if counted < 5 {
				fifth = time.Now()
			}
			counted = n
		}
		s.recoverAfter(crashedAt, stormDowntime)
	}
	wg.Wait()
	return fifth
}

// recoverAfter restarts the engines that have been down for a time.
func (s *partStorm) recoverAfter(crashedAt map[*platformtest.Process]time.Time, downtime time.Duration) {
	due := false
	for _, p := range s.engines {
		if at, known := crashedAt[p]; p.Running() {
			delete(crashedAt, p)
		} else if !known {
			crashedAt[p] = time.Now()
		} else if time.Since(at) >= downtime {
			due = true
		}
	}
	if due {
		s.recover()
	}
}

func (s *partStorm) sendEvery(ctx context.Context, interval time.Duration, prompt deadlyPrompt, sound bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		entry := s.all[rand.IntN(len(s.all))]
		id := fmt.Sprintf("%v-%d", sound, n)
		req := entry.request(http.MethodPost, "/resume/stream", "prompt "+id, "X-Attempt-Id", id,
			"X-Prompt-Prefix", prompt(n, rand.IntN(6), rand.IntN(70), n))
		wg.Go(func() { s.send(req, sound) })
		time.Sleep(interval)
	}
}

func (s *partStorm) send(req *http.Request, sound bool) {
	r := soundResult{at: time.Now()}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.served = readErr == nil && resp.StatusCode == http.StatusOK && string(raw) == platformtest.WholeStream(0, 5)
		r.quarantined = resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(raw), "quarantined")
	}
	if !sound {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound = append(s.sound, r)
}

// arrivalsAfter counts the requests that crash engines and reached one after a time.
func (s *partStorm) arrivalsAfter(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if a.After(at) {
			n++
		}
	}
	return n
}

// soundBetween returns the share of sound requests served that were sent in a time, and how many of
// all were refused as quarantined.
func (s *partStorm) soundBetween(from, to time.Time) (share float64, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, served := 0, 0
	for _, r := range s.sound {
		if r.quarantined {
			quarantined++
		}
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), quarantined
}

// partStorms are the places of parts that crash engines.
var partStorms = map[string]deadlyPrompt{
	"middle": func(_, f, _, l int) string { return fmt.Sprintf("f%d:100,deadly:80,own%d:20", f, l) },
	"first":  func(_, _, m, l int) string { return fmt.Sprintf("deadly:100,m%d:80,own%d:20", m, l) },
	"two at once": func(n, f, m, l int) string {
		if n%2 == 0 {
			return fmt.Sprintf("deadly1:100,m%d:80,own%d:20", m, l)
		}
		return fmt.Sprintf("f%d:100,deadly2:80,own%d:20", f, l)
	},
}

// Guards against requests with a part that crashes engines being sent to one engine after the other because no two are alike.
func TestAPromptPartThatCrashesEnginesIsHeldBack(t *testing.T) {
	for name, prompt := range partStorms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPartStorm(t, false)
			fifth := s.play(prompt)
			late := s.arrivalsAfter(fifth.Add(detectedAfter))
			t.Logf("%d crashes, %d requests reached engines late", s.crashes(), late)
			is.True(late <= maxLate)
		})
	}
}

// Guards against refusing, or losing with their engines, sound requests that share a caller or prompt parts with ones that crash engines.
func TestSoundRequestsBesideACrashingPromptPartAreServed(t *testing.T) {
	for name, prompt := range partStorms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPartStorm(t, false)
			started := time.Now()
			fifth := s.play(prompt)
			before, _ := s.soundBetween(started, started.Add(stormCalm))
			after, quarantined := s.soundBetween(fifth.Add(2*detectedAfter), time.Now())
			t.Logf("sound requests: %.3f served before, %.3f after; %d of %d quarantined", before, after, quarantined, len(s.sound))
			is.True(after >= 0.95*before)
			is.True(quarantined*1000 <= len(s.sound))
		})
	}
}

// Guards against taking an answer without a length or chunks for whole, and its parts for sound, when its engine crashed.
func TestAPartThatCrashesEnginesUnderUnframedAnswersIsHeldBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPartStorm(t, true)
	fifth := s.play(partStorms["middle"])
	late := s.arrivalsAfter(fifth.Add(detectedAfter))
	t.Logf("%d crashes, %d requests reached engines late", s.crashes(), late)
	is.True(late <= maxLate)
}

// Guards against passing on, as whole, an answer without a length or chunks that its engine's crash cut off.
func TestAnUnframedAnswerThatACrashCutOffIsNotWhole(t *testing.T) {
	for path, served := range map[string]bool{"/resume/stream": true, "/get/x": true, "/once/stream": false, "/post/x": false} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			is := is.New(t)
			f := &crashingFleet{cluster: newCluster(t, 1, clockwork.NewRealClock())}
			f.startEngines(3, platformtest.EngineConfig{})
			var runs atomic.Int64
			for _, p := range f.engines {
				p.Engine().FaultOf = func(*http.Request) platformtest.Fault {
					if runs.Add(1) == 1 {
						return platformtest.CrashUnframed
					}
					return platformtest.NoFault
				}
			}
			a := f.all[0].do(http.MethodPost, path, "body")
			looksWhole := a.err == nil && a.status == http.StatusOK
			is.Equal(looksWhole, served)
			if served && path == "/get/x" {
				a.assertComplete(is)
			} else if served {
				is.Equal(a.body, platformtest.WholeStream(0, 5))
			}
			is.Equal(f.crashes(), 1)
		})
	}
}

// Guards against answers of one model clearing a part that crashes the engines with another.
func TestAPartIsClearedForTheModelThatAnsweredIt(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	header := []string{"X-Prompt-Prefix", "f:10,m:10,own:10", "X-Model"}
	w.do(http.MethodPost, "/resume/stream", "body", append(header, "sound")...).assertCompleteStream(is)
	part := quarantine.PartFingerprints(service, []string{"m"})
	for n := range 4 {
		s := quarantine.Subject{Request: quarantine.Fingerprint(n), Parts: part}
		w.quarantine.Crashed(s, fleet.EndpointID(fmt.Sprint(n)), quarantine.VariantOf("frail", "v1"), quarantine.Started)
	}
	time.Sleep(2 * quarantine.Interval)
	w.do(http.MethodPost, "/resume/stream", "body", append(header, "sound")...).assertCompleteStream(is)
	w.quarantine.Tick(context.Background())
	a := w.do(http.MethodPost, "/resume/stream", "body", append(header, "frail")...)
	is.Equal(a.status, http.StatusServiceUnavailable)
	w.do(http.MethodPost, "/resume/stream", "body", append(header, "sound")...).assertCompleteStream(is)
}

// Guards against sending a request that crashes engines through an entry that knows of it, for one that does not.
func TestARequestThatTheEntryInBetweenRefusesIsRefused(t *testing.T) {
	is := is.New(t)
	f := newPartitionCluster(t, 2, 1, 4)
	f.all[0].link.set(linkRefuses)
	sound := []string{"X-Prompt-Prefix", "f:10,m:10,own:10"}
	for range 10 { // finds the link lost
		f.all[0].do(http.MethodPost, "/resume/stream", "body", sound...)
	}
	f.all[0].do(http.MethodPost, "/resume/stream", "body", sound...).assertCompleteStream(is)
	part := quarantine.PartFingerprints(service, []string{"deadly"})
	for n := range 4 {
		f.all[1].quarantine.Crashed(quarantine.Subject{Request: quarantine.Fingerprint(n), Parts: part}, fleet.EndpointID(fmt.Sprint(n)), quarantine.VariantOf("", "v1"), quarantine.Started)
	}
	time.Sleep(2 * quarantine.Interval)
	f.all[1].quarantine.Tick(context.Background())
	runs := len(f.all[0].runs())
	a := f.all[0].do(http.MethodPost, "/resume/stream", "body", "X-Prompt-Prefix", "f:10,deadly:10,own:10")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(f.all[0].runs()), runs)
	f.all[0].do(http.MethodPost, "/resume/stream", "body", sound...).assertCompleteStream(is)
}

// Guards against an entry that was out of touch sending what it holds before it hears what the others found meanwhile.
func TestAnEntryOutOfTouchAsksBeforeItSends(t *testing.T) {
	is := is.New(t)
	f := newPartitionCluster(t, 2, 1, 4)
	f.all[0].server.Peers = f.meshes[0]
	sound := []string{"X-Prompt-Prefix", "f:10,m:10,own:10"}
	f.all[0].do(http.MethodPost, "/resume/stream", "body", sound...).assertCompleteStream(is)
	time.Sleep(1100 * time.Millisecond) // it knows most sound parts by then
	part := quarantine.PartFingerprints(service, []string{"deadly"})
	for n := range 4 {
		f.all[1].quarantine.Crashed(quarantine.Subject{Request: quarantine.Fingerprint(n), Parts: part}, fleet.EndpointID(fmt.Sprint(n)), quarantine.VariantOf("", "v1"), quarantine.Started)
	}
	runs := len(f.all[0].runs())
	a := f.all[0].do(http.MethodPost, "/resume/stream", "body", "X-Prompt-Prefix", "f:10,deadly:10,own:10")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(len(f.all[0].runs()), runs)
	f.all[0].do(http.MethodPost, "/resume/stream", "body", sound...).assertCompleteStream(is)
}

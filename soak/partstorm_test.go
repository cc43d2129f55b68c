package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// BuildPrograms returns lovageweir and lovagectl: those in the folder that the environment variable PROGRAMS
// names, or else built from the sources.
func BuildPrograms(t *testing.T) (edge, ctl string) {
	t.Helper()
	dir := os.Getenv("PROGRAMS")
	if dir == "" {
		dir = t.TempDir()
		out, err := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), "../cmd/lovageweir", "../cmd/lovagectl").CombinedOutput()
		if err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	return filepath.Join(dir, "lovageweir"), filepath.Join(dir, "lovagectl")
}

// partStorm is a load of requests that crash engines, by a part of their prompts and no two alike, or the
// same one again and again, while entries are cut off from all engines or frozen.
type partStorm struct {
	entries int
	// whole: one request crashes engines; else a prompt part does.
	whole bool
	// answered: it was answered before it began to crash engines.
	answered bool
	// beforeHead: engines end before the head of the answer, else delay after it.
	beforeHead bool
	delay      time.Duration
	// cut entries lose their links to all engines for cutFor, from the first request that crashes engines
	// on; 0: for good.
	cut     int
	cutMode Cut
	cutFor  time.Duration
	// frozen entries stop for frozenFor at the crash of the number freezeAt.
	frozen, freezeAt int
	frozenFor        time.Duration
	// restarted entries are killed and start again at the fifth crash.
	restarted int
	// share bounds the processor share of all entries; 0: no bound.
	share float64
	// all: all engines end at the same time, when such requests begin.
	all bool
	// sound: there are no such requests.
	sound bool
	// downtime is how long engines are down after a crash.
	downtime time.Duration
	// perSecond is the rate of the requests that crash engines.
	perSecond float64
	lasts     time.Duration
}

const (
	partStormCalm      = 3 * time.Second
	partStormEngines   = 9
	partStormDowntime  = 3 * time.Second
	partStormLasts     = 10 * time.Second
	partStormRate      = 6
	soundPerSecond     = 60
	partStormPause     = 15 * time.Millisecond // between events
	partStormFirsts    = 6
	partStormMiddles   = 70
	partStormDetect    = time.Second // after the fifth crash
	partStormLate      = 3           // arrivals after that
	partStormRecovered = 2 * time.Second
	partStormServed    = 0.95 // of the calm
)

// stormRun is a partStorm that is played.
type stormRun struct {
	partStorm
	c     *cluster
	began time.Time // of the requests that crash engines

	mu      sync.Mutex
	exits   []time.Time // of engines under such a request
	backAt  time.Time   // when an engine last started again
	results []stormResult
	wg      sync.WaitGroup
}

type stormResult struct {
	id                  string
	at                  time.Time
	served, quarantined bool
}

func playPartStorm(t *testing.T, s partStorm, edge, ctl string) *stormRun {
	t.Helper()
	if s.entries == 0 {
		s.entries = 8
	}
	if s.downtime == 0 {
		s.downtime = partStormDowntime
	}
	if s.perSecond == 0 {
		s.perSecond = partStormRate
	}
	if s.lasts == 0 {
		s.lasts = partStormLasts
	}
	dir := t.TempDir()
	if kept := os.Getenv("STORM_LOGS"); kept != "" {
		dir = filepath.Join(kept, strings.ReplaceAll(t.Name(), "/", "_"))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	c, err := newCluster(Options{Seed: 1, EdgePath: edge, CtlPath: ctl, Dir: dir, Entries: s.entries, Cuts: true, Alone: true})
	if c != nil {
		t.Cleanup(c.stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	r := &stormRun{partStorm: s, c: c, began: time.Now().Add(settle + partStormCalm + time.Duration(s.entries)*30*time.Millisecond)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var engines sync.WaitGroup
	for i := range s.engines() {
		engines.Go(func() { r.superviseEngine(ctx, i, freeAddress()) })
	}
	for _, e := range c.entries {
		r.wg.Go(func() { pollReadiness(ctx, e) })
		if s.share > 0 {
			go throttle(ctx, e.process, s.share)
		}
	}
	time.Sleep(time.Until(r.began) - partStormCalm)
	end := r.began.Add(s.lasts)
	r.wg.Go(func() { r.disturb(ctx) })
	sending, stop := context.WithDeadline(ctx, end)
	defer stop()
	r.wg.Go(func() { r.sendEvery(sending, soundPerSecond, r.soundRequest) })
	if s.answered {
		r.wg.Go(func() { r.sendEvery(sending, 2*s.perSecond, r.deadlyRequest) })
	} else if !s.sound {
		time.Sleep(time.Until(r.began))
		r.wg.Go(func() { r.sendEvery(sending, s.perSecond, r.deadlyRequest) })
	}
	time.Sleep(time.Until(end) + settle)
	cancel()
	r.wg.Wait()
	engines.Wait()
	return r
}

// engines returns how many engines the entries have: as many in proportion as the smallest fleet.
func (s partStorm) engines() int { return max(partStormEngines, s.entries*partStormEngines/16) }

// superviseEngine starts an engine, and again at the same address whenever it has crashed.
func (r *stormRun) superviseEngine(ctx context.Context, number int, address string) {
	for ctx.Err() == nil {
		name := fmt.Sprintf("i-%d@%d", number, time.Now().UnixMilli())
		args := []string{r.c.ctl, "standin", "platform-engine", "--listen", address, "--store", r.c.storeAddress, "--id", name, "--service", fragileService, "--domain", domainOf(number),
			"--events", strconv.Itoa(streamEvents), "--pause", partStormPause.String(), "--work", "15ms", "--crash-from", fmt.Sprint(r.began.UnixMilli()), "--crash-delay", r.delay.String()}
		if r.whole {
			args = append(args, "--crash-on", poisonBody)
		} else {
			args = append(args, "--crash-on-part", deadlyPartID)
		}
		if r.beforeHead {
			args = append(args, "--crash-before-head")
		}
		e := &engine{logPath: r.c.logPath(name), service: fragileService, domain: domainOf(number), process: &process{name: name, args: args}}
		r.c.mu.Lock()
		r.c.fragile = append(r.c.fragile, e)
		r.c.mu.Unlock()
		if err := e.start(e.logPath); err != nil {
			return
		}
		r.mu.Lock()
		r.backAt = time.Now()
		r.mu.Unlock()
		crashed := make(chan struct{})
		go func() { defer close(crashed); _ = e.cmd.Wait() }()
		together := make(<-chan time.Time)
		if r.all && time.Now().Before(r.began) {
			together = time.After(time.Until(r.began))
		}
		select {
		case <-crashed:
			r.mu.Lock()
			r.exits = append(r.exits, time.Now())
			r.mu.Unlock()
		case <-together:
			e.signal(syscall.SIGKILL)
			<-crashed
		case <-ctx.Done():
			e.signal(syscall.SIGKILL)
			<-crashed
			return
		}
		wait(ctx, r.downtime)
	}
}

// pollReadiness asks an entry once a second whether it is ready, as the platform does.
func pollReadiness(ctx context.Context, e *entry) {
	client := &http.Client{Timeout: readinessInterval}
	for wait(ctx, readinessInterval) {
		if resp, err := client.Get("http://" + e.readiness + "/"); err == nil {
			resp.Body.Close()
		}
	}
}

// disturb cuts entries off, freezes and restarts others, the last ones first.
func (r *stormRun) disturb(ctx context.Context) {
	wait(ctx, time.Until(r.began))
	entries := slices.Clone(r.c.entries)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	cut := entries[:r.cut]
	for _, e := range cut {
		e.egress.Set(r.cutMode)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	if r.cutFor > 0 {
		wg.Go(func() {
			wait(ctx, r.cutFor)
			for _, e := range cut {
				e.egress.Set(NoCut)
			}
		})
	}
	if r.frozen > 0 && r.awaitCrash(ctx, r.freezeAt) {
		for _, e := range entries[len(entries)-r.frozen:] {
			wg.Go(func() {
				e.signal(syscall.SIGSTOP)
				time.Sleep(r.frozenFor)
				e.signal(syscall.SIGCONT)
			})
		}
	}
	if r.restarted > 0 && r.awaitCrash(ctx, 5) {
		for _, e := range entries[len(entries)-r.restarted:] {
			wg.Go(func() {
				e.signal(syscall.SIGKILL)
				e.wait(time.Second)
				_ = e.start(r.c.logPath(e.name))
			})
		}
	}
}

func (r *stormRun) awaitCrash(ctx context.Context, number int) bool {
	for wait(ctx, 2*time.Millisecond) {
		if r.crashes() >= number {
			return true
		}
	}
	return false
}

func (r *stormRun) crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.exits)
}

func (r *stormRun) sendEvery(ctx context.Context, perSecond float64, request func(n int) (id, body, prompt string, sound bool)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	client := newCallerClient(false)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		e := r.c.entries[rand.IntN(len(r.c.entries))]
		id, body, prompt, sound := request(n)
		wg.Go(func() { r.send(client, e, id, body, prompt, sound) })
		wait(ctx, time.Duration(float64(time.Second)/perSecond))
	}
}

func (r *stormRun) soundRequest(n int) (id, body, prompt string, sound bool) {
	id = fmt.Sprint("sound-", n)
	return id, "body of " + id, fmt.Sprintf("f%d:40,m%d:40,own-%s:20", rand.IntN(partStormFirsts), rand.IntN(partStormMiddles), id), true
}

func (r *stormRun) deadlyRequest(n int) (id, body, prompt string, sound bool) {
	id = fmt.Sprint("deadly-", n)
	first := rand.IntN(partStormFirsts)
	if r.whole {
		return id, poisonBody, "", false
	}
	return id, "body of " + id, fmt.Sprintf("f%d:40,%s:40,own-%s:20", first, deadlyPartID, id), false
}

func (r *stormRun) send(client *http.Client, e *entry, id, body, prompt string, sound bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+pathOf(kindFragile, 0), strings.NewReader(body))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if prompt != "" {
		req.Header.Set("X-Prompt-Prefix", prompt)
	}
	q := stormResult{id: id, at: time.Now()}
	if resp, err := client.Do(req); err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		q.served = readErr == nil && resp.StatusCode == http.StatusOK && string(raw) == platformtest.WholeStream(0, streamEvents)
		q.quarantined = resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(raw), "quarantined")
	}
	if !sound {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, q)
}

// stormOutcome is what came of a storm.
type stormOutcome struct {
	exits, arrivals, late int
	calm, after           float64 // shares of sound requests served
	sent, total           int     // sound requests after the storm, and all
	refused, refusedLast  int     // of the sound requests, as crashing engines; in the last second
}

func (o stormOutcome) String() string {
	return fmt.Sprintf("%d engines ended, %d arrivals, %d late; sound requests: %.3f served before, %.3f of %d after; %d refused as crashing engines, %d of them in the last second",
		o.exits, o.arrivals, o.late, o.calm, o.after, o.sent, o.refused, o.refusedLast)
}

func (r *stormRun) outcome(t *testing.T) stormOutcome {
	t.Helper()
	runs, err := r.c.engineRuns()
	if err != nil {
		t.Fatal(err)
	}
	o := stormOutcome{exits: len(r.exits), total: len(r.results)}
	detected := r.began.Add(r.lasts)
	last := r.began
	if n := len(r.exits); n > 0 {
		detected = r.exits[min(n, 5)-1].Add(partStormDetect)
		last = r.exits[min(n, 5)-1]
	}
	for _, one := range runs.runs {
		if one.fault == string(platformtest.Crash) {
			o.arrivals++
			if one.at.After(detected) {
				o.late++
			}
		}
	}
	calm, served, sentCalm := r.began, 0, 0
	recovered, end := last.Add(r.downtime+partStormRecovered), r.began.Add(r.lasts)
	after := 0
	for _, q := range r.results {
		switch {
		case q.at.Before(calm.Add(-partStormCalm / 6)):
			sentCalm++
			if q.served {
				served++
			}
		case q.at.After(recovered):
			o.sent++
			if q.served {
				after++
			}
		}
		if q.quarantined {
			o.refused++
			if q.at.After(end.Add(-time.Second)) {
				o.refusedLast++
			}
		}
	}
	o.calm, o.after = float64(served)/float64(max(1, sentCalm)), float64(after)/float64(max(1, o.sent))
	return o
}

func (o stormOutcome) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.True(o.late <= partStormLate)             // requests that crash engines reached them too long after the fifth crash
	is.True(o.sent > 0)                          // there are sound requests to count
	is.True(o.after >= partStormServed*o.calm)   // of the sound requests, too few were served after the storm
	is.True(o.refused*quarantinedPer <= o.total) // too many sound requests were refused as crashing engines
	is.Equal(o.refusedLast, 0)                   // sound requests are refused for good
}

// partStorms are played before a landing, some of them by the tests.
var partStorms = map[string]partStorm{
	"nothing else":                    {},
	"before the head":                 {beforeHead: true},
	"answered before":                 {answered: true},
	"answered, before the head":       {answered: true, beforeHead: true},
	"answered, late":                  {answered: true, delay: 700 * time.Millisecond},
	"late":                            {delay: 200 * time.Millisecond},
	"all but one cut, silent":         {cut: 7, cutMode: CutHangs},
	"all but one cut, reset":          {cut: 7, cutMode: CutResets},
	"all but one cut, refused":        {cut: 7, cutMode: CutRefuses},
	"all but one cut, old silent":     {cut: 7, cutMode: CutSilences},
	"all but one cut, before":         {cut: 7, cutMode: CutHangs, beforeHead: true},
	"all but one cut, answered":       {cut: 7, cutMode: CutHangs, answered: true, beforeHead: true},
	"all but one cut for a while":     {cut: 7, cutMode: CutHangs, cutFor: 4 * time.Second},
	"half cut, reset":                 {cut: 4, cutMode: CutResets},
	"half frozen":                     {frozen: 4, freezeAt: 2, frozenFor: 2500 * time.Millisecond, perSecond: 20},
	"all but one frozen":              {frozen: 7, freezeAt: 3, frozenFor: 4 * time.Second, perSecond: 20, lasts: 14 * time.Second},
	"frozen shortly":                  {frozen: 4, freezeAt: 3, frozenFor: 1200 * time.Millisecond, perSecond: 30},
	"cut and frozen":                  {cut: 5, cutMode: CutHangs, frozen: 2, freezeAt: 2, frozenFor: 1500 * time.Millisecond},
	"all engines at once":             {all: true, lasts: 14 * time.Second},
	"all engines at once, cut":        {all: true, cut: 7, cutMode: CutHangs, lasts: 14 * time.Second},
	"all engines at once, no storm":   {all: true, sound: true},
	"fast":                            {perSecond: 40, downtime: 1500 * time.Millisecond},
	"fast, all but one cut":           {perSecond: 40, cut: 7, cutMode: CutHangs, downtime: 1500 * time.Millisecond},
	"fast, all but one cut, refused":  {perSecond: 40, cut: 7, cutMode: CutRefuses, downtime: 1500 * time.Millisecond},
	"cut alone, silent":               {sound: true, cut: 7, cutMode: CutHangs},
	"cut alone, reset":                {sound: true, cut: 7, cutMode: CutResets},
	"restarted":                       {restarted: 4},
	"little processor time":           {share: 0.1, perSecond: 12},
	"whole":                           {whole: true},
	"whole, answered":                 {whole: true, answered: true},
	"whole, answered, before":         {whole: true, answered: true, beforeHead: true},
	"whole, answered, cut":            {whole: true, answered: true, cut: 7, cutMode: CutHangs},
	"24 entries, all but one cut":     {entries: 24, cut: 23, cutMode: CutHangs},
	"24 entries, half cut and frozen": {entries: 24, cut: 12, cutMode: CutResets, frozen: 6, freezeAt: 2, frozenFor: 2 * time.Second},
	"24 entries, answered":            {entries: 24, answered: true, beforeHead: true},
	"24 entries, all engines at once": {entries: 24, all: true, lasts: 14 * time.Second},
	"60 entries, all but one cut":     {entries: 60, cut: 59, cutMode: CutHangs},
	"60 entries, half cut":            {entries: 60, cut: 30, cutMode: CutResets},
	"60 entries, answered":            {entries: 60, answered: true, beforeHead: true},
	"60 entries, all engines at once": {entries: 60, all: true, lasts: 16 * time.Second},
	"60 entries, half frozen":         {entries: 60, frozen: 30, freezeAt: 3, frozenFor: 2500 * time.Millisecond, perSecond: 20},
}

// playPartStorms plays storms by their names.
func playPartStorms(t *testing.T, names ...string) {
	edge, ctl := BuildPrograms(t)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			o := playPartStorm(t, partStorms[name], edge, ctl).outcome(t)
			t.Logf("%s: %v", name, o)
			o.check(t)
		})
	}
}

// Guards against the same where entries lose their links or not; with STORMS=all, in all storms, some minutes.
func TestCrashingPartStorms(t *testing.T) {
	names := []string{"half cut, reset", "nothing else"}
	if os.Getenv("STORMS") == "all" {
		names = slices.Sorted(maps.Keys(partStorms))
	}
	playPartStorms(t, names...)
}

// Guards against requests with a part that crashes engines reaching them because its earlier answers clear it.
func TestAPartThatBeginsToCrashEnginesIsHeldBack(t *testing.T) {
	playPartStorms(t, "answered, before the head")
}

// Guards against the same because entries without links do not see that engines crashed, and wake after others know.
func TestACrashingPartIsHeldBackBehindCuts(t *testing.T) {
	playPartStorms(t, "all but one cut, before", "cut and frozen")
}

// Guards against the same for a request that was answered before.
func TestARequestThatBeginsToCrashEnginesIsHeldBack(t *testing.T) {
	playPartStorms(t, "whole, answered, before")
}

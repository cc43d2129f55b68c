package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

const (
	// partitionSettles is within the users' bound of 3 s.
	partitionSettles = 1500 * time.Millisecond
	partitionLasts   = 1500 * time.Millisecond
	// partitionShare is the least share, relative to the other entries, that entries without links
	// must serve at the first attempt: the stated aim.
	partitionShare = 0.95
)

// newPartitionCluster returns entries and endpoints spread over the domains.
func newPartitionCluster(t *testing.T, entries, domains, endpoints int) *cluster {
	t.Helper()
	f := newClusterIn(t, entries, domains, clockwork.NewRealClock())
	for i := range endpoints {
		f.all[0].addEngine(platformtest.EngineConfig{ID: fmt.Sprint("e", i), Service: service, Domain: domainOf(i, domains), Version: "v1", Slots: 64, Pause: 10 * time.Millisecond})
	}
	f.sync()
	return f
}

// attemptCount counts first attempts.
type attemptCount struct{ served, sent int }

func (t attemptCount) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// firstAttempts sends requests of all kinds to all entries until the time is over, and counts those
// of the entries for which inGroup holds and of the others.
func (f *cluster) firstAttempts(d, pause time.Duration, inGroup func(int) bool) (group, others attemptCount) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(d)
	paths := []string{"/post/x", "/get/x", "/resume/stream", "/once/stream"}
	for i := range f.all {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("p%d-%d-%d", until.UnixNano(), i, n)
				path := paths[(i+n)%len(paths)]
				got := f.all[i].do(http.MethodPost, path, "body "+id, "X-Attempt-Id", id)
				ok := got.err == nil && got.status == http.StatusOK && (strings.HasSuffix(path, "x") || got.body == platformtest.WholeStream(0, 5))
				mu.Lock()
				to := &others
				if inGroup(i) {
					to = &group
				}
				to.sent++
				if ok {
					to.served++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return group, others
}

// assertRunOnce checks that no request ran twice that may not.
func (f *cluster) assertRunOnce(is *is.I) {
	is.Helper()
	runs := map[string]int{}
	for _, r := range f.all[0].runs() {
		if strings.HasPrefix(r.Target, "/post/") || strings.HasPrefix(r.Target, "/once/") {
			if runs[r.ID]++; runs[r.ID] > 1 {
				is.Equal(r.ID, "ran twice")
			}
		}
	}
}

// Guards against refusing the callers of entries that have lost their links to all endpoints.
func TestCallersOfEntriesWithoutLinksAreServedLikeTheOthers(t *testing.T) {
	none := func(int) bool { return false }
	for _, tt := range []struct {
		name             string
		mode             linkMode
		entries, domains int
		endpoints        int
		cut              func(int) bool
	}{
		{name: "one of 8, hanging", mode: linkHangs, entries: 8, domains: 4, endpoints: 8, cut: func(i int) bool { return i == 3 }},
		{name: "one of 8, reset", mode: linkResets, entries: 8, domains: 4, endpoints: 8, cut: func(i int) bool { return i == 3 }},
		{name: "one of 8, new connections refused", mode: linkRefuses, entries: 8, domains: 4, endpoints: 8, cut: func(i int) bool { return i == 3 }},
		{name: "a domain of 8", mode: linkHangs, entries: 8, domains: 4, endpoints: 8, cut: func(i int) bool { return i%4 == 1 }},
		{name: "all but one of 8", mode: linkHangs, entries: 8, domains: 4, endpoints: 8, cut: func(i int) bool { return i != 5 }},
		{name: "all but one of 8, reset", mode: linkResets, entries: 8, domains: 4, endpoints: 8, cut: func(i int) bool { return i != 5 }},
		{name: "all but one of a domain of 60", mode: linkHangs, entries: 60, domains: 5, endpoints: 60, cut: func(i int) bool { return i%5 == 2 && i != 2 }},
		{name: "all but one of 60", mode: linkResets, entries: 60, domains: 5, endpoints: 60, cut: func(i int) bool { return i != 7 }},
		{name: "a domain of 300", mode: linkHangs, entries: 300, domains: 5, endpoints: 100, cut: func(i int) bool { return i%5 == 2 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newPartitionCluster(t, tt.entries, tt.domains, tt.endpoints)
			pause := time.Duration(tt.entries) * 5 * time.Millisecond
			f.firstAttempts(300*time.Millisecond, pause, none)
			for i := range f.all {
				if tt.cut(i) {
					f.all[i].link.set(tt.mode)
				}
			}
			f.firstAttempts(partitionSettles, pause, none)
			cut, others := f.firstAttempts(partitionLasts, pause, tt.cut)
			t.Logf("without links: %d of %d served at the first attempt, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
			is.True(cut.sent > 0)
			is.True(cut.share() >= partitionShare*others.share())
			is.True(others.share() >= partitionShare)
			f.assertRunOnce(is)
			for i := range f.all {
				f.all[i].link.set(linkUp)
			}
			f.firstAttempts(time.Second, pause, none)
			after, _ := f.firstAttempts(500*time.Millisecond, pause, tt.cut)
			is.True(after.share() >= partitionShare)
		})
	}
}

// Guards against streams that break off, or wait for their limits, when the link that they came over is lost.
func TestStreamsUnderWayGoOnWhenTheirLinkIsLost(t *testing.T) {
	for _, tt := range []struct {
		name string
		mode linkMode
	}{{"hanging", linkHangs}, {"reset", linkResets}, {"new connections refused", linkRefuses}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newPartitionCluster(t, 4, 2, 4)
			for _, e := range f.all[0].engines {
				e.Config.Events, e.Config.Pause = 60, 25*time.Millisecond
			}
			var wg sync.WaitGroup
			answers := make([]answer, 8)
			began := time.Now()
			for i := range answers {
				wg.Go(func() {
					answers[i] = f.all[0].do(http.MethodPost, "/resume/stream", "body", "X-Attempt-Id", fmt.Sprint("u", i))
				})
			}
			time.Sleep(400 * time.Millisecond)
			f.all[0].link.set(tt.mode)
			f.firstAttempts(time.Second, 50*time.Millisecond, func(int) bool { return false }) // finds the link lost
			wg.Wait()
			took := time.Since(began)
			for i, got := range answers {
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				if got.body != platformtest.WholeStream(0, 60) {
					t.Errorf("stream %d is not whole", i)
				}
			}
			t.Logf("%d streams of 1.5 s ended after %v", len(answers), took.Round(time.Millisecond))
			is.True(took < 1500*time.Millisecond+2*time.Second) // the pause that a stream's route allows, twice
			f.assertRunOnce(is)
		})
	}
}

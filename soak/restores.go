package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/command/standin"
)

// Restores of the store from copies.
const (
	maxCopyAge  = 6 * time.Second
	maxAwayTime = 2 * time.Second
	// lostWrites is how many other changes the operator makes before a restore, so that the copy's
	// revision is below those that entries know.
	lostWrites = 20
	// configBound is how long after its confirmation a configuration must be in force, configSlack
	// allows for processes that are not scheduled for a while.
	configBound = 2 * time.Second
	configSlack = time.Second
	// minServedShare is how often requests around restores must be served, of how often others are.
	minServedShare = 0.97
)

// operator writes what the users' operator writes, and writes it again after a restore.
type operator struct {
	c  *cluster
	mu sync.Mutex // held during a write and a restore
	// values holds the last value of each key, nil if it was removed.
	values map[string][]byte
	// confirmed is when the store confirmed each version of the configuration.
	confirmed map[int64]time.Time
	restores  []restore
}

func newOperator(c *cluster) *operator {
	return &operator{c: c, values: map[string][]byte{}, confirmed: map[int64]time.Time{}}
}

// put writes a key, or removes it if value is nil.
func (o *operator) put(ctx context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.values[key] = value
	return o.writeLocked(ctx, key)
}

func (o *operator) writeLocked(ctx context.Context, key string) error {
	var err error
	if value := o.values[key]; value != nil {
		_, err = o.c.storeClient.Put(ctx, key, value, 0)
	} else {
		_, err = o.c.storeClient.Delete(ctx, key, false)
	}
	return err
}

// putConfig writes a version of the configuration.
func (o *operator) putConfig(ctx context.Context, version int64, value []byte) error {
	err := o.put(ctx, "op/config", value)
	if err == nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.confirmed[version] = time.Now()
	}
	return err
}

// restore takes the store away for some time, after which it comes back from a copy of some age, and
// writes again what the copy lacks.
func (o *operator) restore(age, away time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range lostWrites {
		o.values[fmt.Sprint("op/other/", i)] = fmt.Append(nil, len(o.restores))
		if err := o.writeLocked(context.Background(), fmt.Sprint("op/other/", i)); err != nil {
			return err
		}
	}
	w := restore{interval: interval{from: time.Now()}}
	body := fmt.Sprintf(`{"age_ms":%d,"away_ms":%d}`, age.Milliseconds(), away.Milliseconds())
	resp, err := http.Post("http://"+o.c.storeAddress+standin.RestorePath, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	resp.Body.Close()
	w.back = time.Now()
	for key, value := range o.values {
		_, items, err := o.c.storeClient.Get(context.Background(), key, false)
		if err == nil && len(items) == 0 && value == nil || len(items) == 1 && value != nil && bytes.Equal(items[0].Value, value) {
			continue
		}
		if err := o.writeLocked(context.Background(), key); err != nil {
			return err
		}
	}
	w.to, w.era = time.Now(), int64(o.c.storeClient.Era())
	o.restores = append(o.restores, w)
	return nil
}

// restoreInTurn restores the store again and again until ctx ends, at times twice in a row.
func (f *faultInjector) restoreInTurn(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	pause := time.Second
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait(ctx, pause) {
		age := time.Duration(rng.Int64N(int64(maxCopyAge)))
		away := time.Duration(rng.Int64N(int64(maxAwayTime)))
		f.record("the store is away for %v and comes back from a copy %v old", away.Round(time.Millisecond), age.Round(time.Millisecond))
		if err := f.c.operator.restore(age, away); err != nil {
			f.record("the store was not restored: %v", err)
		}
		if wait(ctx, time.Duration(rng.IntN(1000))*time.Millisecond) {
			f.writeConfig()
		}
		if f.c.alone {
			f.replaceOldest(&wg)
		}
		pause = time.Duration(4500+rng.IntN(3500)) * time.Millisecond
		if rng.IntN(4) == 0 {
			pause = 100 * time.Millisecond
		}
	}
}

// replaceOldest replaces the engine that was started first and still runs, by a planned stop.
func (f *faultInjector) replaceOldest(wg *sync.WaitGroup) {
	f.c.mu.Lock()
	g := f.c.engines[f.replaced]
	f.c.mu.Unlock()
	f.replaced++
	wg.Go(func() { f.replace(g, true) })
}

// dueAfterRestores returns when all entries must know what was written at a time: after a bound that
// begins anew with each restore that loses it, or that comes before it is known.
func (o *operator) dueAfterRestores(at time.Time, bound time.Duration) time.Time {
	due := at.Add(bound)
	for _, r := range o.restores { // in the order of time
		if r.from.Before(due) && r.to.After(at) {
			due = r.to.Add(bound)
		}
	}
	return due
}

// checkConfigs returns findings on requests that were handled by an older configuration than the one
// that had to be in force.
func (s *callers) checkConfigs(f *faultInjector) (findings []string) {
	o := s.c.operator
	for _, q := range s.results {
		confirmed, ok := o.confirmed[q.version]
		if !ok || excused(confirmed, q.started, slices.Concat(f.faulted[q.entry], f.interrupted[q.entry])) {
			continue
		}
		if q.started.Before(o.dueAfterRestores(confirmed, configBound+configSlack)) {
			continue
		}
		late := q.started.Sub(confirmed).Round(time.Millisecond)
		switch {
		case q.kind == kindVersion && q.status == http.StatusNotFound && q.replaced.IsZero():
			findings = append(findings, fmt.Sprintf("%s: 404 at %s, %v after version %d was confirmed", q.id, q.entry, late, q.version))
		case q.kind == kindRevoked && q.status == http.StatusOK:
			findings = append(findings, fmt.Sprintf("%s: a key that version %d revoked served at %s, %v after it was confirmed", q.id, q.version, q.entry, late))
		}
	}
	return findings
}

// checkServed returns a finding if too few requests around restores were served.
func (s *callers) checkServed(restored, others attemptCount) string {
	if !s.alone || others.sent == 0 || restored.sent == 0 {
		return ""
	}
	before := float64(others.served) / float64(others.sent)
	if share := float64(restored.served) / float64(restored.sent); share < minServedShare*before {
		return fmt.Sprintf("%d of %d requests served around restores, %d of %d at other times", restored.served, restored.sent, others.served, others.sent)
	}
	return ""
}

// countAroundRestores counts the requests that started during a restore or within catchUp after it,
// and the others.
func (s *callers) countAroundRestores() (restored, others attemptCount) {
	for _, q := range s.results {
		if q.kind == kindVersion || q.kind == kindRevoked {
			continue
		}
		count := &others
		for _, r := range s.c.operator.restores {
			if (interval{r.from, r.to.Add(catchUp)}).overlaps(q.started, q.started) {
				count = &restored
			}
		}
		count.add(q)
	}
	return restored, others
}

// keyOf returns the API key that only one version of the configuration has.
func keyOf(version int64) string { return fmt.Sprint("key-", version) }

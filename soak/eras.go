package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	// eraBound is how long after the store's return all entries must be in its new era, eraSlack
	// allows for processes that are not scheduled for a while.
	eraBound = time.Second
	eraSlack = 500 * time.Millisecond
	// eraMessage is what an entry logs when it enters an era.
	eraMessage = "fleet: the store came back from a copy; a new era begins."
)

// restore is one restore of the store: away from from on, back at back, until all was written again.
type restore struct {
	interval
	back time.Time
	era  int64
}

// eraLine is the part of an entry's log line that tells of an era.
type eraLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Era     int64     `json:"era"`
}

// enteredEras returns when an entry entered each era, by its log.
func (c *cluster) enteredEras(name string) (map[int64]time.Time, error) {
	f, err := os.Open(c.logPath(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entered := map[int64]time.Time{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line eraLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == eraMessage {
			entered[line.Era] = line.Time
		}
	}
	return entered, lines.Err()
}

// checkEras returns findings on entries without a fault that entered an era too late, and the longest time
// that one took.
func (s *callers) checkEras(f *faultInjector) (findings []string, longest time.Duration, err error) {
	for _, e := range s.c.entries {
		entered, err := s.c.enteredEras(e.name)
		if err != nil {
			return nil, 0, err
		}
		faults := slices.Concat(f.faulted[e.name], f.interrupted[e.name])
		for i, r := range s.c.operator.restores {
			due := r.back.Add(eraBound + eraSlack)
			last := i+1 == len(s.c.operator.restores)
			if anyOverlaps(faults, r.from.Add(-catchUp), due) || !last && s.c.operator.restores[i+1].from.Before(due) {
				continue
			}
			at, ok := entered[r.era]
			if !ok || at.After(due) {
				findings = append(findings, fmt.Sprintf("%s: not in era %d %v after the store's return", e.name, r.era, eraBound+eraSlack))
				continue
			}
			longest = max(longest, at.Sub(r.back))
		}
	}
	return findings, longest, nil
}

package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// What engines say of themselves in answers: that they leave, some of them long before the store is
// told, and that they want no requests for a while.
const (
	// announceDelay is how long some engines serve after a planned stop began before the store is
	// told. Together with drainTime it must exceed leavingBound and leavingSlack.
	announceDelay = 4 * time.Second
	// restTime is the Retry-After of engines that refuse a request.
	restTime = 1500 * time.Millisecond
	// noticeSlack is how long an answer may take to reach an entry and be acted on.
	noticeSlack = 500 * time.Millisecond
	// sendSlack is how far apart a send in an entry's log and its arrival at an engine may be.
	sendSlack = 500 * time.Millisecond
	// maxLogLine is the longest line of an entry's log, in bytes.
	maxLogLine = 1 << 20
	// maxDuringRest is how many requests an entry may send to an engine in its rest: the users' bound.
	maxDuringRest = 2
)

// announceDelayOf returns the announceDelay of an engine: every other one tells the store at once.
func announceDelayOf(number int) time.Duration {
	if number%2 == 0 {
		return 0
	}
	return announceDelay
}

// noticeContext is what is needed to judge requests that follow a notice.
type noticeContext struct {
	entryOf map[string]string // by request
	// handedOff has the sends to an engine of requests that another entry than the caller's sent, too.
	handedOff map[sentTo][]entrySend
	// handedOn are the requests that the caller's entry handed to another one, whose line may be lost with it.
	handedOn    map[string]bool
	interrupted map[string][]interval // stops and pauses of processes, by name
	linkFaults  map[string][]interval // by name of the engine behind the link
}

// sentTo is a request and an engine that it was sent to.
type sentTo struct{ id, engine string }

// entrySend is one send of a request by an entry.
type entrySend struct {
	entry   string
	at      time.Time
	refused bool // the engine refused it, as one that rests does
	// answered: the engine answered it, and not with a refusal.
	answered bool
}

// sender returns the entry that sent a request as it arrived at an engine; empty: not known. A request that an
// engine refused may reach it from the next entry within milliseconds: of the sends, those with another outcome
// are left out if any has the right one. A send that was answered is never the one that was refused: if there is
// no other, the entry that was refused was killed before it wrote its line.
func (c noticeContext) sender(r run) string {
	entry, nearest := c.entryOf[r.id], time.Duration(math.MaxInt64)
	sends := slices.Clone(c.handedOff[sentTo{r.id, r.engine}])
	sends = slices.DeleteFunc(sends, func(s entrySend) bool { return r.rest > 0 && s.answered })
	sameOutcome := func(s entrySend) bool { return s.refused == (r.rest > 0) }
	anySame := slices.ContainsFunc(sends, sameOutcome)
	for _, s := range sends {
		if anySame && !sameOutcome(s) {
			continue
		}
		if d := s.at.Sub(r.at).Abs(); d < nearest {
			entry, nearest = s.entry, d
		}
	}
	if c.handedOn[r.id] && nearest > sendSlack {
		return ""
	}
	return entry
}

// checkNotices returns findings on requests that reached an engine though it had told the entry that
// sent them that it leaves or rests.
func (r *runLog) checkNotices(c noticeContext) (findings []string) {
	arrivals := slices.Concat(r.runs, r.refused)
	slices.SortStableFunc(arrivals, func(a, b run) int { return a.at.Compare(b.at) })
	type pair struct{ engine, entry string }
	byPair := map[pair][]run{}
	for _, one := range arrivals {
		if entry := c.sender(one); entry != "" {
			p := pair{one.engine, entry}
			byPair[p] = append(byPair[p], one)
		}
	}
	for p, all := range byPair {
		sentToLeaving := false // one finding is enough
		for i, notice := range all {
			told := notice.at.Add(noticeSlack)
			if !notice.leaving && notice.rest == 0 {
				continue
			}
			if notice.fault != "" || anyOverlaps(c.linkFaults[p.engine], notice.at, told) {
				continue // the answer may not have arrived
			}
			during := 0
			for _, later := range all[i+1:] {
				switch {
				case anyOverlaps(c.interrupted[p.entry], notice.at, later.at):
				case notice.leaving && !sentToLeaving && later.at.Sub(told) > leavingBound+leavingSlack:
					sentToLeaving = true
					findings = append(findings, fmt.Sprintf("%s: reached %s from %s %v after an answer that said that it leaves", later.id, p.engine, p.entry, later.at.Sub(notice.at)))
				case notice.rest > 0 && later.at.After(told) && later.at.Sub(notice.at) < notice.rest:
					during++
				}
			}
			if during > maxDuringRest {
				findings = append(findings, fmt.Sprintf("%s asked %s for a rest of %v as it refused %s, and got %d requests in it", p.engine, p.entry, notice.rest, notice.id, during))
			}
		}
	}
	slices.Sort(findings)
	return slices.Compact(findings)
}

// noticeContext returns what is known of the requests and faults of a soak.
func (s *callers) noticeContext(f *faultInjector) noticeContext {
	c := noticeContext{entryOf: map[string]string{}, handedOff: map[sentTo][]entrySend{}, handedOn: map[string]bool{}, interrupted: f.interrupted, linkFaults: f.linkFaults}
	for _, q := range s.results {
		c.entryOf[q.id] = q.entry
	}
	handled := map[string]string{} // requests, with the last entry of which a send was read
	several := map[string]bool{}   // requests that several entries sent
	all := map[sentTo][]entrySend{}
	for _, e := range s.c.entries {
		err := readSends(s.c.logPath(e.name), e.name, c.handedOn, func(to sentTo, send entrySend) {
			if first, ok := handled[to.id]; ok && first != e.name {
				several[to.id] = true
			}
			handled[to.id] = e.name
			all[to] = append(all[to], send)
		})
		if err != nil {
			s.addFinding("log of %s cannot be read: %v", e.name, err)
		}
	}
	for to, sends := range all {
		if several[to.id] || handled[to.id] != c.entryOf[to.id] {
			c.handedOff[to] = sends
		}
	}
	return c
}

// sendPattern matches one send in an entry's line on a request: the engine, ms since the request came, the status of
// the answer (0: none), and what came of it.
var sendPattern = regexp.MustCompile(`(?:^|; )(\S+) .*?\bat=(\d+)ms\b[^;]*?\bstatus=(\d+)([^;]*)`)

// refusedSend is in a send that its engine refused.
const refusedSend = " refused (endpoint refused)"

// unansweredHandoff is logged for a request that was handed to an entry which did not answer.
const unansweredHandoff = "ingress: entry does not answer a request that was handed to it."

// readSends calls f for each send to an engine in the log of an entry, and records the requests that it handed on.
func readSends(log, entry string, handedOn map[string]bool, f func(to sentTo, send entrySend)) error {
	file, err := os.Open(log)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line struct {
			ID, Sends, Msg string
			HandedTo       string `json:"handed_to"`
			Time           time.Time
			MS             int64
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.HandedTo != "" || line.Msg == unansweredHandoff {
			handedOn[line.ID] = true
		}
		if line.Sends == "" {
			continue
		}
		came := line.Time.Add(-time.Duration(line.MS) * time.Millisecond)
		for _, m := range sendPattern.FindAllStringSubmatch(line.Sends, -1) {
			ms, _ := strconv.Atoi(m[2]) // digits
			send := entrySend{entry: entry, at: came.Add(time.Duration(ms) * time.Millisecond), refused: strings.Contains(m[4], refusedSend)}
			send.answered = !send.refused && m[3] != "0" && m[3] != strconv.Itoa(http.StatusServiceUnavailable)
			f(sentTo{line.ID, m[1]}, send)
		}
	}
	return lines.Err()
}

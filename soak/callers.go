package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Parameters of callers.
const (
	requestTimeout = 3 * time.Second
	// requestSlack is how long after its deadline a request may end, whatever its
	// entry is going through, except for a pause of the process.
	requestSlack = 4 * time.Second
	streamEvents = 20
)

// result is what a caller observed of one request.
type result struct {
	id, kind string
	entry    string
	// started is when the caller started the request, sent when the whole request
	// was written (zero: never), ended when the response or its connection ended.
	started, sent, ended time.Time
	status               int
	complete             bool // the response was received up to its end
	body                 string
	quarantined          bool  // refused as a request that crashes engines
	late                 bool  // not ended requestSlack after its deadline
	version              int64 // of the configuration, when the request started
	// replaced is when another version was found to have taken its place before the request ended.
	replaced time.Time
}

// callers send requests over keep-alive connections until their context ends.
type callers struct {
	c       *cluster
	seed    uint64
	notices bool // requests that follow an engine's notices are checked
	// slowStart: requests to evacuated domains and to cold engines are checked.
	slowStart bool
	fragile   bool // most requests go to the fragile service, and one kind crashes its engines
	cold      bool // requests that crash engines come from the first moment on
	surge     surge
	slow      bool // some callers read slowly
	restores  bool // some requests have keys that were revoked
	alone     bool // there are no faults but restores
	series    bool // some callers keep long streams open, some use a new connection for each request

	mu       sync.Mutex
	results  []result
	findings []string
	served   map[string]servedVersion // by entry and boot
}

func (s *callers) addFinding(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

func (s *callers) run(ctx context.Context, n int) {
	s.surge.started = time.Now()
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runCaller(ctx, i)
		}()
	}
	s.surges(ctx, n, &wg)
	wg.Wait()
}

func (s *callers) runCaller(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(number)))
	client := newCallerClient(s.readsSlowly(number))
	defer client.CloseIdleConnections()
	if s.series && number%longStreamEvery == 0 {
		s.runLongStreams(ctx, client, number)
		return
	}
	kinds := s.kinds()
	started := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		if s.series && number%2 == 1 {
			client.CloseIdleConnections()
		}
		e := s.c.entries[rng.IntN(len(s.c.entries))]
		kind := kinds[rng.IntN(len(kinds))]
		if crashesEngines(kind) && !s.cold && time.Since(started) < fragileCalm {
			kind = kindFragile
		}
		s.call(client, e, fmt.Sprintf("%s%d-%d-%d", s.idPrefix(number), s.seed, number, i), kind)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// call sends one request and records its result.
func (s *callers) call(client *http.Client, e *entry, id, kind string) {
	version := s.c.latestVersion()
	ctx, cancel := context.WithTimeout(context.Background(), timeoutOf(kind)+requestSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+pathOf(kind, version), strings.NewReader(bodyOf(id, kind)))
	if err != nil {
		s.addFinding("%s: %v", id, err)
		return
	}
	// net/http would retry the request by itself; a caller must not.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", apiKey)
	if strings.HasPrefix(id, surgingIDs) {
		req.Header.Set("X-Credential", surgingKey)
	}
	if kind == kindRevoked {
		req.Header.Set("X-Credential", keyOf(version-1))
	}
	req.Header.Set("X-Model", "*")
	if kind != kindCall { // whose duration does not depend on its tokens
		req.Header.Set("X-Token-Usage", "100,10")
	}
	if isFragile(kind) {
		req.Header.Set("X-Prompt-Prefix", promptOf(rand.New(rand.NewPCG(s.seed, hash(id))), id, kind))
	}
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(timeoutOf(kind).Milliseconds(), 10))
	boot := e.currentBoot()
	r := result{id: id, kind: kind, entry: e.name, started: time.Now(), version: version}
	var sent atomic.Pointer[time.Time]
	req = req.WithContext(traceSent(ctx, &sent))
	resp, err := client.Do(req)
	if err == nil {
		raw, readErr := readAnswer(id, resp.Body)
		resp.Body.Close()
		r.status, r.body, r.complete = resp.StatusCode, string(raw), readErr == nil
		r.quarantined = r.status == http.StatusServiceUnavailable && strings.Contains(r.body, "quarantined")
	}
	r.ended, r.late = time.Now(), ctx.Err() != nil
	if s.c.latestVersion() != version {
		r.replaced = r.ended
	}
	if at := sent.Load(); at != nil {
		r.sent = *at
	}
	s.record(r)
	if kind == kindVersion && boot == e.currentBoot() {
		s.checkVersion(fmt.Sprintf("%s boot %d", e.name, boot), r)
	}
}

// traceSent returns a context that stores in sent when its request was fully
// written.
func traceSent(ctx context.Context, sent *atomic.Pointer[time.Time]) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			sent.Store(&now)
		}
	}})
}

func (s *callers) record(r result) {
	if problem := r.checkBody(); problem != "" {
		s.addFinding("%s (%s): %s", r.id, r.kind, problem)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.body = ""
	s.results = append(s.results, r)
}

// checkBody returns what is wrong with a complete 200 response, or "".
func (r result) checkBody() string {
	if r.status != http.StatusOK || !r.complete {
		return ""
	}
	want := "answer to " + r.id
	if isStream(r.kind) {
		want = platformtest.WholeStream(0, streamEvents)
	}
	if r.body != want {
		return fmt.Sprintf("answer of %d bytes is not its own whole one: %.80q", len(r.body), r.body)
	}
	return ""
}

// servedVersion is the highest configuration version whose route was served, and when it first was.
type servedVersion struct {
	version int64
	at      time.Time
}

// checkVersion checks that an entry's configuration does not revert: once the route
// of a version was served there, it exists for all requests sent after that.
func (s *callers) checkVersion(entry string, q result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served := s.served[entry]
	switch {
	case q.status == http.StatusOK && q.version > served.version:
		s.served[entry] = servedVersion{q.version, q.ended}
	case q.status == http.StatusNotFound && served.version == q.version && q.started.After(served.at) && s.c.latestVersion() == q.version:
		s.findings = append(s.findings, fmt.Sprintf("%s: version %d was in force and is no more", entry, q.version))
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

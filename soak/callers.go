package soak

import (
	"context"
	"fmt"
	"io"
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

// What callers do.
const (
	requestLimit = 3 * time.Second
	// requestSlack is how much later than its deadline a request may end,
	// whatever its entry is going through but a pause.
	requestSlack = 4 * time.Second
	streamEvents = 20
)

// seen is what a caller saw of one request.
type seen struct {
	id, kind string
	entry    string
	// begun is when the caller turned to the entry, sent when it had sent the
	// whole request (zero: never), ended when the answer or its connection ended.
	begun, sent, ended time.Time
	status             int
	whole              bool // the answer came to its marked end
	body               string
	late               bool
}

// callers send requests over connections that they keep, until ctx ends.
type callers struct {
	c       *cluster
	seed    uint64
	fragile bool // requests go to the fragile service, and one crashes its engines
	series  bool // some callers keep long streams open, some open a connection a request

	mu       sync.Mutex
	all      []seen
	findings []string
	marks    map[string]int64 // entry and boot -> highest version seen in force
}

func (s *callers) found(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

func (s *callers) run(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.one(ctx, i)
		}()
	}
	wg.Wait()
}

func (s *callers) one(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	if s.series && number%longCallers == 0 {
		s.streamOn(ctx, client, number)
		return
	}
	kinds := s.kinds()
	for i := 0; ctx.Err() == nil; i++ {
		if s.series && number%2 == 1 {
			client.CloseIdleConnections()
		}
		e := s.c.entries[rng.IntN(len(s.c.entries))]
		s.call(client, e, fmt.Sprintf("r%d-%d-%d", s.seed, number, i), kinds[rng.IntN(len(kinds))])
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// call sends one request and notes what came of it.
func (s *callers) call(client *http.Client, e *entry, id, kind string) {
	version := s.c.newest()
	ctx, cancel := context.WithTimeout(context.Background(), limitOf(kind)+requestSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+pathOf(kind, version), strings.NewReader(bodyOf(id, kind)))
	if err != nil {
		s.found("%s: %v", id, err)
		return
	}
	// net/http would send a request once more by itself; a caller must not.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Model", "*")
	if kind != kindCall { // which takes its time whatever it reads
		req.Header.Set("X-Token-Usage", "100,10")
	}
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(limitOf(kind).Milliseconds(), 10))
	boot := e.boots()
	r := seen{id: id, kind: kind, entry: e.name, begun: time.Now()}
	var sent atomic.Pointer[time.Time]
	req = req.WithContext(noteSent(ctx, &sent))
	resp, err := client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.status, r.body, r.whole = resp.StatusCode, string(raw), readErr == nil
	}
	r.ended, r.late = time.Now(), ctx.Err() != nil
	if at := sent.Load(); at != nil {
		r.sent = *at
	}
	s.note(r)
	if kind == kindMark && boot == e.boots() {
		s.marked(fmt.Sprintf("%s boot %d", e.name, boot), version, r.status)
	}
}

// noteSent returns a context that notes when all of its request was sent.
func noteSent(ctx context.Context, sent *atomic.Pointer[time.Time]) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			sent.Store(&now)
		}
	}})
}

func (s *callers) note(r seen) {
	if problem := r.wrong(); problem != "" {
		s.found("%s (%s): %s", r.id, r.kind, problem)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.body = ""
	s.all = append(s.all, r)
}

// wrong says what is wrong with an answer by itself.
func (r seen) wrong() string {
	if r.status != http.StatusOK || !r.whole {
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

// marked checks that an entry's configuration does not go back: once a
// version's route was served there, it exists.
func (s *callers) marked(entry string, version int64, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case status == http.StatusOK:
		s.marks[entry] = max(s.marks[entry], version)
	case status == http.StatusNotFound && s.marks[entry] == version && s.c.newest() == version:
		s.findings = append(s.findings, fmt.Sprintf("%s: version %d was in force and is no more", entry, version))
	}
}

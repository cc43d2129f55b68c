package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	status   int
	whole    bool // the answer came to its marked end
	body     string
	late     bool
}

// callers send requests over connections that they keep, until ctx ends.
type callers struct {
	c    *cluster
	seed uint64

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
	kinds := []string{"post", "get", "once", "resume", "mark"}
	for i := 0; ctx.Err() == nil; i++ {
		e := s.c.entries[rng.IntN(len(s.c.entries))]
		s.call(client, e, fmt.Sprintf("r%d-%d-%d", s.seed, number, i), kinds[rng.IntN(len(kinds))])
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// call sends one request and notes what came of it.
func (s *callers) call(client *http.Client, e *entry, id, kind string) {
	version := s.c.newest()
	path := map[string]string{"post": "/post/x", "get": "/get/x", "once": "/once/stream", "resume": "/resume/stream", "mark": "/" + mark(version) + "/x"}[kind]
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit+requestSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, strings.NewReader("body of "+id))
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
	req.Header.Set("X-Token-Usage", "100,10")
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(requestLimit.Milliseconds(), 10))
	boot := e.boots()
	r := seen{id: id, kind: kind}
	resp, err := client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.status, r.body, r.whole = resp.StatusCode, string(raw), readErr == nil
	}
	r.late = ctx.Err() != nil
	s.note(r)
	if kind == "mark" && boot == e.boots() {
		s.marked(fmt.Sprintf("%s boot %d", e.name, boot), version, r.status)
	}
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
	if r.kind == "once" || r.kind == "resume" {
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

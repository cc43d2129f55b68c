package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// The case "twice".
const (
	twiceRest   = 5 * time.Second // what each engine asks for once, as it turns a request away
	twiceCalm   = time.Second     // requests before that
	twiceFor    = 5 * time.Second // requests from then on
	twiceEvery  = 16 * time.Millisecond
	twiceSpoils = 25 // one in so many conflicts, which are half of the answers, is spoiled at one engine
)

// booking is an engine that answers every second request with 409: what it posts is there already.
type booking struct {
	*engine
	faulty bool // spoils answers while it rests

	mu        sync.Mutex
	asksRest  bool // turns the next request away
	spoilsTo  time.Time
	conflicts int
	runs      map[string]int
}

func (b *booking) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != b.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asksRest {
		b.asksRest = false
		b.w.note("engine %s turns %s away and asks for a rest of %v", b.id, id, twiceRest)
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("Retry-After", fmt.Sprint(twiceRest.Seconds()))
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.runs[id]++
	status, seal := http.StatusOK, "X-Response-Seal"
	if strings.HasSuffix(id, "again") {
		status = http.StatusConflict
		b.conflicts++
		if b.conflicts%twiceSpoils == 0 && time.Now().Before(b.spoilsTo) {
			seal = "X-Resronse-Seal"
		}
	}
	b.w.note("engine %s runs %s and answers %d, spoiled: %v", b.id, id, status, seal != "X-Response-Seal")
	text := "answer to " + id
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, seal, platformtest.Seal(b.id, text), len(text), text)
}

// playTwice has engines turn a request away and ask for a rest, and one of them spoil some answers.
func playTwice(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	c := &fleet.Config{Version: 1, Services: map[string]fleet.Service{appService: {Name: appService, MaxConnections: 110}},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []fleet.Route{{Name: "log", Host: routeHost, Prefix: "/app/log/", Kind: fleet.NonIdempotent, Timeout: poisonTimeout, Objective: 150 * time.Millisecond, MaxAttempts: 1,
			Public: true, Targets: []fleet.Target{{Service: appService, Weight: 1}}}}}
	if err := put(w.store, "op/config", platformtest.EncodeConfig(c)); err != nil {
		return false, err
	}
	domains := []string{"hall-a", "hall-b", "hall-c"}
	var engines []*booking
	for i, domain := range domains {
		b := &booking{engine: &engine{w: w, id: fmt.Sprintf("i-%d", i), service: appService, domain: domain, version: "v1", slots: 6}, faulty: trouble && i == 1, runs: map[string]int{}}
		b.handler = b
		if err := b.listen(); err != nil {
			return false, err
		}
		if err := b.register("ready"); err != nil {
			return false, err
		}
		engines = append(engines, b)
	}
	for _, domain := range domains {
		if _, err := w.startEntry("front-"+domain, domain); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	var sends sync.WaitGroup
	begun, asked, answered := time.Now(), false, 0
	var ids []string
	for i := 0; time.Since(begun) < twiceCalm+twiceFor; i++ {
		if trouble && !asked && time.Since(begun) >= twiceCalm {
			asked = true
			for _, b := range engines {
				b.mu.Lock()
				b.asksRest = true
				if b.faulty {
					b.spoilsTo, b.conflicts = time.Now().Add(twiceRest), 0
				}
				b.mu.Unlock()
			}
		}
		id := fmt.Sprintf("log-%04d", i)
		if i%2 == 1 {
			id += "-again"
		}
		ids = append(ids, id)
		sends.Go(func() {
			a := send(w.entries[0].callers, request{method: "POST", path: "/app/log/1", id: id, body: []byte("pallet"), timeout: poisonTimeout})
			w.note("requester has %s: status %d, error %v", id, a.status, a.err)
			engines[0].mu.Lock()
			defer engines[0].mu.Unlock()
			if a.status == http.StatusOK || a.status == http.StatusConflict {
				answered++
			}
		})
		time.Sleep(twiceEvery)
	}
	sends.Wait()
	twice := 0
	for _, id := range ids {
		if n := engines[0].runs[id] + engines[1].runs[id] + engines[2].runs[id]; n > 1 {
			twice++
			w.note("%s ran %d times", id, n)
		}
	}
	w.note("%d of %d requests, which are not idempotent, ran more than once", twice, len(ids))
	if answered < len(ids)/2 {
		return false, errors.New("most requests were not answered")
	}
	return twice == 0, nil
}

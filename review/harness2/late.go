package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Times of the case "late", from when the heartbeat without an answer is sent.
const (
	heartbeat     = 1200 * time.Millisecond
	lateBy        = 5900 * time.Millisecond // when the store executes it
	lateDrains    = 3200 * time.Millisecond // when the engine reports that it drains
	drainBound    = 2 * time.Second
	lateExits     = 6150 * time.Millisecond // when the engine exits
	lateEnds      = 9 * time.Second
	lateCalm      = 2 * time.Second // between requests, until lateBusyFrom
	lateBusyFrom  = 5400 * time.Millisecond
	lateBusyEvery = 100 * time.Millisecond
	lateWork      = 300 * time.Millisecond
)

// storeLink is a proxy between an engine and the store. While it loses answers, it closes the engine's
// connection at once and passes the call on later.
type storeLink struct {
	w     *world
	loses atomic.Bool
	late  sync.WaitGroup
}

func (l *storeLink) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := func() (int, error) {
		resp, err := http.Post("http://"+l.w.store+r.URL.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	if !l.loses.Load() {
		if status, err := call(); err == nil {
			rw.WriteHeader(status)
		}
		return
	}
	l.late.Go(func() {
		time.Sleep(lateBy)
		status, err := call()
		l.w.note("store executes the heartbeat that got no answer: status %d, error %v", status, err)
	})
	panic(http.ErrAbortHandler)
}

// playLate loses the answer to one heartbeat of an engine; the store executes it after the engine has
// reported that it drains.
func playLate(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	link := &storeLink{w: w}
	ln, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return false, err
	}
	proxy := &http.Server{Handler: link}
	go func() { _ = proxy.Serve(ln) }()
	defer proxy.Close()
	c := &fleet.Config{Version: 1, Services: map[string]fleet.Service{appService: {Name: appService, MaxConnections: 110}},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []fleet.Route{{Name: "log", Host: routeHost, Prefix: "/app/log/", Kind: fleet.NonIdempotent, Timeout: poisonTimeout, Objective: 500 * time.Millisecond, MaxAttempts: 1,
			Public: true, Targets: []fleet.Target{{Service: appService, Weight: 1}}}}}
	if err := put(w.store, "op/config", platformtest.EncodeConfig(c)); err != nil {
		return false, err
	}
	var drainedAt atomic.Int64 // when the store accepted that the first engine drains, in ns
	var tooLate, cut atomic.Int64
	var engines []*engine
	for i, domain := range []string{"hall-a", "hall-b"} {
		g := &engine{w: w, id: fmt.Sprintf("i-%d", i), service: appService, domain: domain, version: "v1", slots: 6}
		g.handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Expect-Instance") != g.id {
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			id := r.Header.Get("X-Attempt-Id")
			since := time.Duration(0)
			if at := drainedAt.Load(); i == 0 && at != 0 {
				since = time.Duration(time.Now().UnixNano() - at)
			}
			w.note("engine %s runs %s, %d ms after the store accepted that it drains", g.id, id, since.Milliseconds())
			if since > drainBound {
				tooLate.Add(1)
			}
			select {
			case <-time.After(lateWork):
			case <-r.Context().Done():
				w.note("engine %s: %s is cut off", g.id, id)
				return
			}
			text := "answer to " + id
			h := rw.Header()
			h.Set("X-Attempt-Id", id)
			if i == 0 && drainedAt.Load() != 0 {
				h.Set("Server-Leaving", "1")
			}
			h.Set("X-Response-Seal", platformtest.Seal(g.id, text))
			_, _ = rw.Write([]byte(text))
		})
		if err := g.listen(); err != nil {
			return false, err
		}
		if err := g.register("ready"); err != nil {
			return false, err
		}
		engines = append(engines, g)
	}
	for _, domain := range []string{"hall-a", "hall-b"} {
		if _, err := w.startEntry("front-"+domain, domain); err != nil {
			return false, err
		}
	}
	first := engines[0]
	beat := func(state string) error {
		key, value := first.registration(state)
		return put(ln.Addr().String(), key, value)
	}
	for range 4 { // until the entries are in touch
		w.note("engine %s sends a heartbeat (ready): error %v", first.id, beat("ready"))
		time.Sleep(heartbeat)
	}
	begun := time.Now()
	link.loses.Store(trouble)
	w.note("engine %s sends a heartbeat (ready): error %v", first.id, beat("ready"))
	link.loses.Store(false)
	var all sync.WaitGroup
	all.Go(func() { // heartbeats
		for at := heartbeat; at < lateDrains; at += heartbeat {
			time.Sleep(time.Until(begun.Add(at)))
			w.note("engine %s sends a heartbeat (ready): error %v", first.id, beat("ready"))
		}
		for at := lateDrains; at < lateExits; at += heartbeat {
			time.Sleep(time.Until(begun.Add(at)))
			err := beat("draining")
			drainedAt.CompareAndSwap(0, time.Now().UnixNano())
			w.note("engine %s reports that it drains: error %v", first.id, err)
		}
		time.Sleep(time.Until(begun.Add(lateExits)))
		w.note("engine %s exits", first.id)
		first.crash()
		_ = remove(w.store, "servers/"+first.id)
	})
	for i := 0; time.Since(begun) < lateEnds; i++ {
		id := fmt.Sprintf("log-%04d", i)
		all.Go(func() {
			a := send(w.entries[0].callers, request{method: "POST", path: "/app/log/1", id: id, body: []byte("pallet"), timeout: poisonTimeout})
			w.note("requester has %s: status %d, error %v", id, a.status, a.err)
			if a.err != nil || a.status != http.StatusOK {
				cut.Add(1)
			}
		})
		if time.Since(begun) < lateBusyFrom {
			time.Sleep(min(lateCalm, time.Until(begun.Add(lateBusyFrom))))
		} else {
			time.Sleep(lateBusyEvery)
		}
	}
	all.Wait()
	link.late.Wait()
	w.note("%d requests reached the engine later than %v after the store had accepted that it drains; %d requests failed", tooLate.Load(), drainBound, cut.Load())
	return tooLate.Load() == 0, nil
}

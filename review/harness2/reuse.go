package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Times of the case "reuse", from when the streams begin.
const (
	reuseDrains = 500 * time.Millisecond  // their engines report that they drain
	reuseStops  = 2700 * time.Millisecond // the entry is frozen
	reuseExits  = 2800 * time.Millisecond // the engines exit
	reuseAfter  = 2100 * time.Millisecond // later, others have their addresses
	reuseWakes  = 5150 * time.Millisecond // the entry wakes
)

// playReuse freezes an entry while the engines of its streams leave as planned, and engines of another
// service get their addresses.
func playReuse(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	c := &fleet.Config{Version: 1, Services: map[string]fleet.Service{streamedService: {Name: streamedService, MaxConnections: 370}, appService: {Name: appService, MaxConnections: 110}},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []fleet.Route{{Name: "notice", Host: routeHost, Prefix: "/notice/", Kind: fleet.Streaming, Timeout: cutoffBound, Objective: 1500 * time.Millisecond,
			MaxGap: 1200 * time.Millisecond, MaxAttempts: 3, Resumable: true, Public: true, Targets: []fleet.Target{{Service: streamedService, Weight: 1}}}}}
	if err := put(w.store, "op/config", platformtest.EncodeConfig(c)); err != nil {
		return false, err
	}
	domains := []string{"hall-a", "hall-b"}
	var engines []*streamer
	for n := range cutoffEngines {
		s := &streamer{engine: &engine{w: w, id: fmt.Sprintf("i-%d", n), service: streamedService, domain: domains[n%2], version: "v1", slots: 64}, conns: map[net.Conn]string{}}
		s.handler = s
		if err := s.listen(); err != nil {
			return false, err
		}
		if err := s.register("ready"); err != nil {
			return false, err
		}
		engines = append(engines, s)
	}
	for _, domain := range domains {
		if _, err := w.startEntry("front-"+domain, domain); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	frozen := w.entries[0]
	held, whole := true, 0
	var mu sync.Mutex
	var streams sync.WaitGroup
	begun := time.Now()
	for i := range cutoffParallel {
		streams.Go(func() {
			id := fmt.Sprintf("long-%d", i)
			a := send(frozen.callers, request{method: "POST", path: "/notice/1", id: id, body: []byte("{}"), timeout: cutoffBound, header: map[string]string{"X-Token-Usage": "800,300", "X-Model": "m"}})
			complete := a.err == nil && a.status == http.StatusOK
			events := strings.Count(string(a.body), "\n\n")
			w.note("requester has %s: status %d, error %v, looks complete %v, %d events of %d", id, a.status, a.err, complete, events, cutoffPieces)
			mu.Lock()
			defer mu.Unlock()
			if complete && events == cutoffPieces {
				whole++
			}
			if complete && events != cutoffPieces {
				held = false
			}
		})
	}
	time.Sleep(time.Until(begun.Add(reuseDrains)))
	var leaving []*streamer
	for _, s := range engines {
		if ids := s.runs(); len(ids) > 0 && len(leaving) < cutoffEngines-1 {
			leaving = append(leaving, s)
			s.mu.Lock()
			s.left = true
			s.mu.Unlock()
			w.note("engine %s, which runs %v, reports that it drains: error %v", s.id, ids, s.register("draining"))
		}
	}
	if len(leaving) == 0 {
		return false, errors.New("no stream has begun")
	}
	time.Sleep(time.Until(begun.Add(reuseStops)))
	if trouble {
		w.note("%s is frozen", frozen.name)
		if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begun.Add(reuseExits)))
	for _, s := range leaving {
		w.note("engine %s exits; it runs %v", s.id, s.runs())
		s.exit()
		_ = remove(w.store, "servers/"+s.id)
	}
	time.Sleep(reuseAfter)
	for i, s := range leaving {
		g := &engine{w: w, id: fmt.Sprintf("i-new-%d", i), service: appService, domain: s.domain, version: "v1", slots: 6, address: s.address}
		g.handler = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusMisdirectedRequest) })
		if err := g.listen(); err != nil {
			return false, err
		}
		w.note("engine %s of %s has the address of %s: error %v", g.id, g.service, s.id, g.register("ready"))
	}
	time.Sleep(time.Until(begun.Add(reuseWakes)))
	if trouble {
		w.note("%s wakes", frozen.name)
		if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	streams.Wait()
	if held && whole == 0 {
		return false, errors.New("no stream was served")
	}
	return held, nil
}

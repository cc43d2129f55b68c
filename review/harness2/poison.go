package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Times of the case "poison".
const (
	poisonEngines  = 6
	poisonFrom     = 4 * time.Second // when the request begins to crash engines
	poisonFor      = 16 * time.Second
	poisonEvery    = 700 * time.Millisecond
	engineBack     = 2 * time.Second         // when a crashed engine is back
	engineExpires  = 3600 * time.Millisecond // three heartbeats
	stableWindow   = 3 * time.Second
	poisonPath     = "/app/status/77"
	soundPath      = "/app/log/"
	poisonAllowed  = 3 // retries later than stableWindow after the third crash
	poisonCrashes  = 3
	soundEvery     = 40 * time.Millisecond
	soundWork      = 300 * time.Millisecond
	poisonTenant   = "tenant-1"
	poisonKey      = "key-of-tenant-1"
	appService     = "booking-app"
	poisonTimeout  = 1500 * time.Millisecond
	poisonAttempts = 2
)

// poison counts what the engines of the case get.
type poison struct {
	w       *world
	crashes atomic.Bool // the request crashes engines now

	ran sync.Map // ids of sound requests that an engine began to run

	mu      sync.Mutex
	third   time.Time // when it crashed the third engine
	crashed int
	late    map[string]bool // attempts that reached engines later than stableWindow after that
}

// app is one engine's address, with its boots one after the other.
type app struct {
	p      *poison
	n      int
	domain string

	mu   sync.Mutex
	boot *engine
}

func (a *app) start(boot int, address string) error {
	g := &engine{w: a.p.w, id: fmt.Sprintf("i-%d-%d", a.n, boot), service: appService, domain: a.domain, version: "v1", slots: 6, address: address}
	g.handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { a.p.serve(a, g, boot, rw, r) })
	if err := g.listen(); err != nil {
		return err
	}
	a.mu.Lock()
	a.boot = g
	a.mu.Unlock()
	return g.register("ready")
}

func (p *poison) serve(a *app, g *engine, boot int, rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != g.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == poisonPath && p.crashes.Load() {
		p.arrive(g, id)
		g.crash()
		go func() {
			time.Sleep(engineBack)
			if err := a.start(boot+1, g.address); err != nil {
				p.w.note("engine %s is not back: %v", g.id, err)
			}
			time.Sleep(engineExpires - engineBack)
			_ = remove(p.w.store, "servers/"+g.id)
		}()
		return
	}
	if r.URL.Path != poisonPath {
		p.ran.Store(id, true)
		p.w.note("engine %s runs %s", g.id, id)
		select {
		case <-time.After(soundWork):
		case <-r.Context().Done():
			return
		}
	}
	text := "answer to " + id
	h := rw.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Seal", platformtest.Seal(g.id, text))
	_, _ = rw.Write([]byte(text))
}

// arrive counts an engine that the request crashes.
func (p *poison) arrive(g *engine, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.crashed++
	if p.crashed == poisonCrashes {
		p.third = now
	}
	late := p.crashed > poisonCrashes && now.Sub(p.third) > stableWindow
	if late {
		p.late[id] = true
	}
	p.w.note("engine %s begins to run %s and crashes: crash %d, later than 3 s after the third: %v (%d retries)", g.id, id, p.crashed, late, len(p.late))
}

func remove(store, key string) error {
	body, err := json.Marshal(map[string]any{"precondition": []any{}, "set_keys": []any{}, "remove": []string{key}})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+store+"/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// playPoison lets a request that was answered for some seconds begin to crash engines.
func playPoison(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	route := func(name, prefix string, kind fleet.Kind, attempts int) fleet.Route {
		return fleet.Route{Name: name, Host: routeHost, Prefix: prefix, Kind: kind, Timeout: poisonTimeout, Objective: 150 * time.Millisecond, MaxAttempts: attempts,
			Targets: []fleet.Target{{Service: appService, Weight: 1}}}
	}
	c := &fleet.Config{Version: 1, KeysRequired: true, Services: map[string]fleet.Service{appService: {Name: appService, MaxConnections: 110}},
		Limits:    fleet.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:    []fleet.Route{route("status", "/app/status/", fleet.Idempotent, poisonAttempts), route("log", soundPath, fleet.NonIdempotent, 1)},
		Customers: []fleet.Customer{{Name: poisonTenant, Keys: []string{poisonKey}}}}
	if err := put(w.store, "op/config", platformtest.EncodeConfig(c)); err != nil {
		return false, err
	}
	p := &poison{w: w, late: map[string]bool{}}
	domains := []string{"hall-a", "hall-b", "hall-c"}
	for n := range poisonEngines {
		a := &app{p: p, n: n, domain: domains[n%len(domains)]}
		if err := a.start(0, ""); err != nil {
			return false, err
		}
	}
	for _, d := range domains {
		if _, err := w.startEntry("front-"+d, d); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	var sends sync.WaitGroup
	var lost, served atomic.Int64
	sends.Go(func() {
		for i := 0; time.Since(begun) < poisonFrom+poisonFor; i++ {
			id := fmt.Sprintf("log-%05d", i)
			sends.Go(func() {
				a := send(w.entries[i%len(domains)].callers, request{method: "POST", path: soundPath + "1", id: id, body: []byte("pallet"), timeout: poisonTimeout, header: map[string]string{"X-Credential": poisonKey}})
				if a.err == nil && a.status == http.StatusOK {
					served.Add(1)
					return
				}
				if _, ran := p.ran.Load(id); ran {
					lost.Add(1)
				}
				w.note("requester has %s: status %d, error %v", id, a.status, a.err)
			})
			time.Sleep(soundEvery)
		}
	})
	fresh := os.Getenv("FRESH") == "1" // a control: the request was never answered before
	for i := 0; time.Since(begun) < poisonFrom+poisonFor; i++ {
		if time.Since(begun) >= poisonFrom && trouble && !p.crashes.Swap(true) {
			w.note("from now on the request crashes each engine that begins to run it")
		}
		if !fresh || p.crashes.Load() {
			id := fmt.Sprintf("status-%04d", i)
			a := send(w.entries[i%len(domains)].callers, request{method: "GET", path: poisonPath, id: id, timeout: poisonTimeout, header: map[string]string{"X-Credential": poisonKey}})
			w.note("requester has %s at %s: status %d, error %v", id, w.entries[i%len(domains)].name, a.status, a.err)
		}
		time.Sleep(poisonEvery)
	}
	sends.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.note("%d engines crashed by the request; %d retries reached engines later than 3 s after the third crash; sound requests: %d served, %d ran and failed", p.crashed, len(p.late), served.Load(), lost.Load())
	if trouble && p.crashed < poisonCrashes {
		return false, fmt.Errorf("the request crashed %d engines only", p.crashed)
	}
	return len(p.late) <= poisonAllowed, nil
}

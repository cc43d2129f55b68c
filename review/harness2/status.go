package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// The case "status": one of two engines spoils each statusEvery-th of its answers.
const (
	statusRequests = 400
	statusEvery    = 50
	statusPath     = "/app/log/1"
)

// playStatus sends requests of which one of two engines spoils a fiftieth of the answers: the digits of
// the status line are zeros.
func playStatus(w *world, trouble bool) (bool, error) {
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
	domains := []string{"hall-a", "hall-b"}
	var spoiled atomic.Int64
	for i, domain := range domains {
		g := &engine{w: w, id: fmt.Sprintf("i-%d", i), service: appService, domain: domain, version: "v1", slots: 6}
		var served atomic.Int64
		g.handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Expect-Instance") != g.id {
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			id := r.Header.Get("X-Attempt-Id")
			text := "answer to " + id
			h := rw.Header()
			h.Set("X-Attempt-Id", id)
			h.Set("X-Response-Seal", platformtest.Seal(g.id, text))
			if n := served.Add(1); trouble && i == 0 && n%statusEvery == 0 {
				spoiled.Add(1)
				w.note("engine %s runs %s and spoils its answer: status 000", g.id, id)
				conn, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 000 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, platformtest.Seal(g.id, text), len(text), text)
				return
			}
			w.note("engine %s runs %s: status 200", g.id, id)
			_, _ = rw.Write([]byte(text))
		})
		if err := g.listen(); err != nil {
			return false, err
		}
		if err := g.register("ready"); err != nil {
			return false, err
		}
	}
	for _, domain := range domains {
		if _, err := w.startEntry("front-"+domain, domain); err != nil {
			return false, err
		}
	}
	held := true
	for i := range statusRequests {
		id := fmt.Sprintf("log-%04d", i)
		a := send(w.entries[i%2].callers, request{method: "POST", path: statusPath, id: id, body: []byte("pallet"), timeout: poisonTimeout})
		seal := a.header.Get("X-Response-Seal")
		w.note("requester has %s: status %d, seal %q, error %v, body %q", id, a.status, seal, a.err, a.body)
		// Sealed answers bear the status that the engine gave: 200, or none for those that it spoiled.
		if a.err == nil && seal != "" && (a.status != http.StatusOK || !strings.HasSuffix(string(a.body), id)) {
			held = false
		}
	}
	if trouble && spoiled.Load() == 0 {
		return false, fmt.Errorf("no answer was spoiled")
	}
	return held, nil
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Streams of the case "order": their pieces, and which one is long.
const (
	orderPieces  = 12
	orderLong    = 3
	orderStreams = 40
	orderEvery   = 4 // streams for each one with a long piece
	// orderWords is where in the line of the long piece its last words stand.
	orderWords = 2048
)

// piece returns the nth event of a stream. The long one is a line of model output that ends with words;
// all others are short.
func piece(n int, long bool, words string) string {
	text := fmt.Sprintf("piece %d of the draft", n)
	if long && n == orderLong {
		line := "data: " + text + " "
		line += strings.Repeat("boiler ", (orderWords-len(line))/7)
		line += strings.Repeat(".", orderWords-len(line)) + words
		return fmt.Sprintf("id: %d\n%s\n\n", n, line)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
}

// playOrder sends streams of which some have a long piece. Without the trouble the words at the end of
// that piece are others, of the same length.
func playOrder(w *world, trouble bool) (bool, error) {
	words := "no: 40"
	if trouble {
		words = "id: 40"
	}
	if err := w.startStore(); err != nil {
		return false, err
	}
	c := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"draft-model": {Name: "draft-model", MaxConnections: 370}},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []fleet.Route{{Name: "notice", Host: routeHost, Prefix: "/notice/", Kind: fleet.Streaming, Timeout: 20 * time.Second, Objective: 1500 * time.Millisecond,
			MaxGap: 1200 * time.Millisecond, MaxAttempts: 3, Resumable: true, Public: true, Targets: []fleet.Target{{Service: "draft-model", Weight: 1}}}}}
	if err := put(w.store, "op/config", platformtest.EncodeConfig(c)); err != nil {
		return false, err
	}
	for i, domain := range []string{"hall-a", "hall-b"} {
		g := &engine{w: w, id: fmt.Sprintf("i-%d", i), service: "draft-model", domain: domain, version: "v1", slots: 64}
		g.handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { streamPieces(w, g, rw, r, words) })
		if err := g.listen(); err != nil {
			return false, err
		}
		if err := g.register("ready"); err != nil {
			return false, err
		}
	}
	for _, domain := range []string{"hall-a", "hall-b"} {
		if _, err := w.startEntry("front-"+domain, domain); err != nil {
			return false, err
		}
	}
	held, served := true, 0
	for i := range orderStreams {
		id := fmt.Sprintf("r%04d", i)
		if i%orderEvery == 0 {
			id = "long-" + id
		}
		w.note("requester sends %s", id)
		a := send(w.entries[i%2].callers, request{method: "POST", path: "/notice/1", id: id, body: []byte("{}"), header: map[string]string{"X-Token-Usage": "800,300", "X-Model": "m"}})
		whole := ""
		for n := 1; n <= orderPieces; n++ {
			whole += piece(n, strings.HasPrefix(id, "long-"), words)
		}
		complete := a.err == nil && a.status == http.StatusOK && a.header.Get("X-Response-Seal") != ""
		same := string(a.body) == whole
		w.note("requester has %s: status %d, looks complete %v, %d events of %d, bytes as the engine sent them %v", id, a.status, complete, strings.Count(string(a.body), "\n\n"), orderPieces, same)
		if complete {
			served++
		}
		if complete && !same {
			held = false
		}
	}
	if served < orderStreams/2 {
		return false, fmt.Errorf("only %d of %d streams were served", served, orderStreams)
	}
	return held, nil
}

func streamPieces(w *world, g *engine, rw http.ResponseWriter, r *http.Request, words string) {
	if r.Header.Get("X-Expect-Instance") != g.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.note("engine %s runs %s, Last-Event-Id %q", g.id, id, r.Header.Get("Last-Event-Id"))
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Seal", platformtest.Seal(g.id, id))
	h.Set("X-Confidence", "100")
	next := 1
	if n := 0; r.Header.Get("Last-Event-Id") != "" {
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &n)
		next = n + 1
	}
	for n := next; n <= orderPieces; n++ {
		if _, err := rw.Write([]byte(piece(n, strings.HasPrefix(id, "long-"), words))); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	w.note("engine %s ends %s, pieces %d to %d", g.id, id, next, orderPieces)
}

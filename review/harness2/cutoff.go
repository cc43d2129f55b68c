package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Times of the case "cutoff", from when an entry is cut off from the engines.
const (
	cutoffStreams   = 1500 * time.Millisecond // when the streams begin
	cutoffDrains    = 500 * time.Millisecond  // later, the engines of the streams report that they drain
	cutoffExits     = 2400 * time.Millisecond // after that, they exit
	cutoffFor       = 5500 * time.Millisecond
	cutoffPieces    = 60
	cutoffPause     = 100 * time.Millisecond
	cutoffBound     = 20 * time.Second
	cutoffEngines   = 4
	cutoffParallel  = 3
	streamedService = "draft-model"
)

// egressLink is an HTTP CONNECT proxy between one entry and the engines. While it is cut, it neither
// answers nor forwards.
type egressLink struct {
	cut atomic.Bool
	ln  net.Listener
}

func newEgressLink() (*egressLink, error) {
	ln, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	l := &egressLink{ln: ln}
	go func() { _ = (&http.Server{Handler: l}).Serve(ln) }()
	return l, nil
}

func (l *egressLink) awaitHealed() {
	for l.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *egressLink) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	l.awaitHealed()
	to, err := net.Dial("tcp", r.Host)
	if err != nil {
		fmt.Fprint(conn, "HTTP/1.1 502 Bad Gateway\r\nTunnel-Failure: refused\r\nContent-Length: 0\r\n\r\n")
		return
	}
	defer to.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
	go func() {
		l.forward(to, buffered)
		_ = to.Close()
	}()
	l.forward(conn, to)
}

func (l *egressLink) forward(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.awaitHealed()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// streamer is an engine whose streams have neither a length nor chunks.
type streamer struct {
	*engine
	mu    sync.Mutex
	conns map[net.Conn]string // of streams, with their ids
	left  bool
}

func (s *streamer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	s.mu.Lock()
	s.conns[conn] = id
	leaving := ""
	if s.left {
		leaving = "Server-Leaving: 1\r\n"
	}
	s.mu.Unlock()
	defer func() { s.mu.Lock(); delete(s.conns, conn); s.mu.Unlock() }()
	next, pieces := 1, cutoffPieces
	if strings.HasPrefix(id, "short") {
		pieces = 3
	}
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n := 0
		_, _ = fmt.Sscan(last, &n)
		next = n + 1
	}
	s.w.note("engine %s runs %s from piece %d", s.id, id, next)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nX-Confidence: 100\r\n%s\r\n", id, platformtest.Seal(s.id, id), leaving)
	for n := next; n <= pieces; n++ {
		if _, err := io.WriteString(conn, piece(n)); err != nil {
			s.w.note("engine %s: %s ended at piece %d", s.id, id, n)
			return
		}
		time.Sleep(cutoffPause)
	}
	s.w.note("engine %s has written all of %s", s.id, id)
}

// exit ends the engine as the end of its process does.
func (s *streamer) exit() {
	s.crash()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// runs returns the ids of the running streams that aren't short.
func (s *streamer) runs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, id := range s.conns {
		if !strings.HasPrefix(id, "short") {
			out = append(out, id)
		}
	}
	return out
}

var errNoTunnel = errors.New("the entry that was cut off reached no engine through the other one")

// playCutoff cuts an entry off from all engines, and has the engines of its streams leave as planned.
func playCutoff(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	c := &fleet.Config{Version: 1, Services: map[string]fleet.Service{streamedService: {Name: streamedService, MaxConnections: 370}},
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
	var links []*egressLink
	for _, domain := range domains {
		l, err := newEgressLink()
		if err != nil {
			return false, err
		}
		links = append(links, l)
		if err := w.startEntryVia("front-"+domain, domain, l.ln.Addr().String()); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second) // the entries are in touch
	ask := func(id string) answer {
		return send(w.entries[0].callers, request{method: "POST", path: "/notice/1", id: id, body: []byte("{}"), timeout: cutoffBound, header: map[string]string{"X-Token-Usage": "800,300", "X-Model": "m"}})
	}
	if a := ask("short-0"); a.status != http.StatusOK {
		return false, fmt.Errorf("the first stream got %d, %v", a.status, a.err)
	}
	begun := time.Now()
	if trouble {
		w.note("%s is cut off from all engines", w.entries[0].name)
		links[0].cut.Store(true)
		time.AfterFunc(cutoffFor, func() {
			w.note("%s reaches the engines again", w.entries[0].name)
			links[0].cut.Store(false)
		})
	}
	for i := 1; time.Since(begun) < cutoffStreams; i++ {
		a := ask(fmt.Sprintf("short-%d", i))
		w.note("requester has short-%d: status %d, error %v", i, a.status, a.err)
		time.Sleep(50 * time.Millisecond)
	}
	held, whole := true, 0
	var mu sync.Mutex
	var streams sync.WaitGroup
	for i := range cutoffParallel {
		streams.Go(func() {
			id := fmt.Sprintf("long-%d", i)
			a := ask(id)
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
	time.Sleep(cutoffDrains)
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
		return false, errNoTunnel
	}
	time.Sleep(cutoffExits)
	for _, s := range leaving {
		w.note("engine %s exits; it runs %v", s.id, s.runs())
		s.exit()
		_ = remove(w.store, "servers/"+s.id)
	}
	streams.Wait()
	if held && whole == 0 {
		return false, errors.New("no stream was served")
	}
	return held, nil
}

// startEntryVia starts an entry that connects to engines through a proxy.
func (w *world) startEntryVia(name, domain, proxy string) error {
	e := w.newEntry(name, domain)
	f, err := os.OpenFile(e.settings, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	fmt.Fprintf(f, "egress_proxy: %q\n", proxy)
	if err := f.Close(); err != nil {
		return err
	}
	if err := w.run(e); err != nil {
		return err
	}
	return eventually(10*time.Second, e.ready)
}

// piece returns the nth event of a stream.
func piece(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of the draft\n\n", n, n) }

// Command harness2 plays the cases of the second review: the project's programs as processes, and
// stand-ins of engines and requesters in this process.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world holds the processes and the record of one case.
type world struct {
	dir     string // temporary
	started time.Time
	store   string
	entries []*entry

	mu     sync.Mutex
	record *os.File
	procs  []*exec.Cmd
}

// entry is one entry process.
type entry struct {
	name, domain, callers, readiness, peers, loads string
	settings                                       string
	cmd                                            *exec.Cmd
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, started: time.Now(), record: record}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes that were started.
func (w *world) end() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

func (w *world) start(log string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs = append(w.procs, cmd)
	w.mu.Unlock()
	return cmd, nil
}

// Ports of the case: below those that outgoing connections get by themselves.
const (
	firstPort = 20000
	ports     = 12000
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}

// startStore starts the project's stand-in of the platform's store.
func (w *world) startStore() error {
	w.store = freeAddress()
	if _, err := w.start("store.log", "target/lovagectl", "standin", "platform-store", "--listen", w.store); err != nil {
		return err
	}
	return eventually(5*time.Second, func() bool {
		resp, err := http.Get("http://" + w.store + "/kv-range?prefix=op/")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

var errTimeout = errors.New("did not happen in time")

func eventually(within time.Duration, holds func() bool) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errTimeout
}

// put writes a key through a store address.
func put(store, key string, value []byte) error {
	body, err := json.Marshal(map[string]any{"precondition": []any{}, "remove": []any{},
		"set_keys": []any{map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "lease": 0}}})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+store+"/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store answered %d", resp.StatusCode)
	}
	return nil
}

const settingsForm = `instance: "%s"
domain: "%s"
listen:
  callers: "%s"
  readiness: "%s"
  peers: "%s"
  loads: "%s"
seeds: []
store: "%s"
store_writes_per_s: 400
memory_mb: 134
cpu_share: 0.4
max_fds: 4100
link_mbps: 1000.0
bounds:
  leaving_ms: 2000
  grace_s: 8
  session_s: 5
  repeat_ratio: 0.9
  repeat_extra: 56
  repeat_window_s: 10
  exposure_share: 0.15
  exposure_slack: 30
  halt_within_ms: 5000
`

// startEntry starts an entry with the command of the deploy file, and waits until it is ready.
func (w *world) startEntry(name, domain string) (*entry, error) {
	e := w.newEntry(name, domain)
	if err := w.run(e); err != nil {
		return nil, err
	}
	return e, eventually(10*time.Second, e.ready)
}

// newEntry returns an entry with its settings file.
func (w *world) newEntry(name, domain string) *entry {
	e := &entry{name: name, domain: domain, callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), loads: freeAddress()}
	e.settings = filepath.Join(w.dir, name+".yaml")
	text := fmt.Sprintf(settingsForm, name, domain, e.callers, e.readiness, e.peers, e.loads, w.store)
	if err := os.WriteFile(e.settings, []byte(text), 0o644); err != nil {
		panic(err)
	}
	w.entries = append(w.entries, e)
	go w.probe(e)
	return e
}

// probe asks an entry whether it is ready once a second, as the platform does. Entries look at some of
// their state only then.
func (w *world) probe(e *entry) {
	was := false
	for {
		if is := e.ready(); is != was {
			w.note("%s is ready: %v", e.name, is)
			was = is
		}
		time.Sleep(time.Second)
	}
}

// run starts the process of an entry, which has none.
func (w *world) run(e *entry) error {
	cmd, err := w.start(e.name+".log", "target/lovageweir", "edge", "--settings", e.settings)
	e.cmd = cmd
	return err
}

func (e *entry) ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.readiness + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// engine is a stand-in of one engine, listening on an address of its own.
type engine struct {
	w                                     *world
	id, service, domain, version, address string
	slots                                 int
	handler                               http.Handler

	mu  sync.Mutex
	srv *http.Server
	seq int
}

// listen starts the engine's server.
func (g *engine) listen() error {
	if g.address == "" {
		g.address = freeAddress()
	}
	ln, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: g.handler}
	g.mu.Lock()
	g.srv = srv
	g.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// crash closes the engine's address and all of its connections.
func (g *engine) crash() {
	g.mu.Lock()
	srv := g.srv
	g.mu.Unlock()
	_ = srv.Close()
}

// registration returns the engine's next heartbeat.
func (g *engine) registration(state string) (key string, value []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	value, err := json.Marshal(map[string]any{"service": g.service, "address": g.address, "zone": g.domain, "version": g.version,
		"slots": g.slots, "state": state, "cold_remaining_ms": 0, "sequence": g.seq})
	if err != nil {
		panic(err)
	}
	return "servers/" + g.id, value
}

// register writes the engine's registration.
func (g *engine) register(state string) error {
	key, value := g.registration(state)
	return put(g.w.store, key, value)
}

// request describes one requester attempt.
type request struct {
	method, path, id string
	header           map[string]string
	body             []byte
	timeout          time.Duration
}

// answer is what a requester got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // the connection ended before the answer was complete
}

const routeHost = "reviews.example"

// send sends a request on a new connection.
func send(address string, r request) answer {
	if r.timeout == 0 {
		r.timeout = 20 * time.Second
	}
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequest(r.method, "http://"+address+r.path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(r.timeout.Milliseconds()))
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: r.timeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: raw, err: err}
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// run is one play of a script.
type run struct {
	trouble bool
	dir     string // temporary folder
	started time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*exec.Cmd
	store     string // address of the platform's store
}

func newRun(record string, trouble bool) (*run, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, dir: dir, started: time.Now(), file: file, record: bufio.NewWriter(file)}
	r.note("trouble: %v", trouble)
	return r, nil
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *run) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note(format, args...)
}

// close ends all processes and writes the record.
func (r *run) close() {
	r.mu.Lock()
	processes := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, c := range processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// start starts a program of the project; its output goes to a file of the temporary folder.
func (r *run) start(name string, args ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := exec.Command(args[0], args[1:]...)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.processes = append(r.processes, c)
	r.mu.Unlock()
	return c, nil
}

// Ports of the processes: below those that the system gives to outgoing connections.
const (
	firstPort = 15000
	portCount = 15000
)

// nextPort is the offset of the port that is tried next.
var nextPort = rand.IntN(portCount)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// startStore starts the project's stand-in of the platform's store.
func (r *run) startStore() error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	r.store = address
	if _, err := r.start("store", "target/lovagectl", "standin", "platform-store", "--listen", address); err != nil {
		return err
	}
	return r.await("store", func() bool {
		resp, err := http.Get("http://" + address + "/kv-range?prefix=op/")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// await waits up to 10 s for something to hold.
func (r *run) await(what string, holds func() bool) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not up in 10 s", what)
}

// txn is a transaction of the store.
type txn struct {
	Precondition []any    `json:"precondition"`
	SetKeys      []setKey `json:"set_keys"`
	Remove       []string `json:"remove"`
}

type setKey struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// commit runs a transaction and returns the time of its confirmation.
func (r *run) commit(t txn) (time.Time, error) {
	if t.Precondition == nil {
		t.Precondition = []any{}
	}
	if t.SetKeys == nil {
		t.SetKeys = []setKey{}
	}
	if t.Remove == nil {
		t.Remove = []string{}
	}
	raw, err := json.Marshal(t)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.store+"/kv-txn", bytes.NewReader(raw))
	if err != nil {
		return time.Time{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return time.Time{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return time.Time{}, errors.New("store: " + resp.Status)
	}
	return time.Now(), nil
}

// put writes a key as JSON.
func (r *run) put(key string, value any) (time.Time, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	return r.commit(txn{SetKeys: []setKey{{key, raw}}})
}

// remove deletes keys.
func (r *run) remove(keys ...string) (time.Time, error) { return r.commit(txn{Remove: keys}) }

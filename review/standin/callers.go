package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The routes, hosts and keys of the configuration.
const (
	host       = "beds.example"
	service    = "bedline-app"
	holdPrefix = "/hold/"
	findPrefix = "/find/"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	tenant     = "hule930"
)

// configuration is op/config of a deployment with the two plain routes of a small site.
func configuration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2,
			"service": service, "attempts": attempts, "public": false, "stream_resume": false}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-hold", holdPrefix, "non_idempotent", 1), route("r-find", findPrefix, "idempotent", 2)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// sent is one attempt of a requester.
type sent struct {
	id     string
	to     *machine
	at     time.Time
	status int // 0: no answer
}

// callers send requests to machines.
type callers struct {
	r      *run
	next   atomic.Int64
	client *http.Client

	mu   sync.Mutex
	sent map[string]*sent
}

func newCallers(r *run) *callers {
	return &callers{r: r, sent: map[string]*sent{}, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}}}
}

// of returns an attempt.
func (c *callers) of(id string) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// statusOf returns how an attempt was answered; 0: it was not.
func (c *callers) statusOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id].status
}

// keepSending sends perSecond requests a second to a machine, seven in ten of which may not be repeated.
func (c *callers) keepSending(ctx context.Context, m *machine, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		method, target, body := http.MethodPost, holdPrefix+"2f", "hold"
		if n%10 >= 7 {
			method, target, body = http.MethodGet, findPrefix+"2f", ""
		}
		go c.send(m, method, target, body)
	}
}

func (c *callers) send(m *machine, method, target, body string) {
	s := &sent{id: fmt.Sprintf("%016x", c.next.Add(1)), to: m, at: time.Now()}
	c.mu.Lock()
	c.sent[s.id] = s
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+m.callers+target, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", s.id)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Deadline-Remaining", "1000")
	resp, err := c.client.Do(req)
	if err != nil {
		c.r.note("request %s %s to %s: no answer: %v", s.id, target, m.name, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	c.mu.Lock()
	s.status = resp.StatusCode
	c.mu.Unlock()
	c.r.note("request %s %s to %s, sent %.3f s ago: %d", s.id, target, m.name, time.Since(s.at).Seconds(), resp.StatusCode)
}

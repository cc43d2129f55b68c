package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// newQuietCluster starts a cluster without faults.
func newQuietCluster(t *testing.T, engines int) *cluster {
	t.Helper()
	edge, ctl := BuildPrograms(t)
	c, err := newCluster(Options{Seed: 1, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 1, Engines: engines, Alone: true})
	if c != nil {
		t.Cleanup(c.stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// post sends a request on the route of non-resumable calls to the first entry.
func (c *cluster) post(id string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entries[0].callers+pathOf(kindPost, 0), strings.NewReader("body of "+id))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Deadline-Remaining", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// awaitServed waits until the first entry serves a request.
func (c *cluster) awaitServed(t *testing.T, id string) {
	t.Helper()
	var status int
	var err error
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _, err = c.post(id); err == nil && status == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not served: %d, %v", id, status, err)
}

// oddRegistrations are values that are no endpoint's, or an impossible one's.
func oddRegistrations() map[string]string {
	registration := func(address, slots, cold string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"d0","version":"v1","slots":%s,"state":"ready","cold_remaining_ms":%s,"sequence":1}`, service, address, slots, cold)
	}
	return map[string]string{
		"nested":     strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"nested-too": `{"service":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000) + "}",
		"number":     registration("127.0.0.1:9", "1e400", "0"),
		"slots":      registration("127.0.0.1:9", "9223372036854775807", "0"),
		"cold":       registration("127.0.0.1:9", "8", "1e300"),
		"port":       registration("127.0.0.1:70000", "8", "0"),
		"no-port":    registration("127.0.0.1:0", "8", "0"),
		"empty":      "",
		"born":       `{"service":"svc","address":"127.0.0.1:9","zone":"d0","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1e30}`,
	}
}

// Guards against an entry that ends, or stops following the store, for a registration of another writer.
func TestOddRegistrationsDoNotStopAnEntry(t *testing.T) {
	is := is.New(t)
	c := newQuietCluster(t, 1)
	c.awaitServed(t, "before")
	put := func() {
		for name, value := range oddRegistrations() {
			for _, prefix := range []string{"servers/odd-", "lovageweir/entries/odd-"} {
				is.NoErr(c.operator.put(context.Background(), prefix+name, []byte(value)))
			}
		}
	}
	servedByNewEngine := func(number int) {
		is.NoErr(c.addEngine(number, service, "v1"))
		first := c.engines[len(c.engines)-2]
		first.signal(syscall.SIGTERM) // the next requests need the new one
		first.wait(announceDelay + drainTime + exitSlack)
		c.awaitServed(t, fmt.Sprint("engine-", number))
	}
	put()
	servedByNewEngine(1)
	is.Equal(c.entries[0].currentBoot(), 1)
	c.entries[0].signal(syscall.SIGKILL)
	c.entries[0].wait(time.Second)
	is.NoErr(c.entries[0].start(c.logPath(c.entries[0].name))) // reads them as it starts
	c.awaitServed(t, "restarted")
	put() // and follows them
	servedByNewEngine(2)
	is.NoErr(c.entries[0].cmd.Process.Signal(syscall.Signal(0))) // it runs
}

// Guards against answers that look whole though their engine ended inside their heads.
func TestAnAnswerThatEndsInsideItsHeadIsNoAnswer(t *testing.T) {
	is := is.New(t)
	c := newQuietCluster(t, 1)
	c.awaitServed(t, "before")
	text := "answer to cut"
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: cut\r\nX-Response-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: " + fmt.Sprint(len(text)) + "\r\n\r\n"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	cut := make(chan int, 1)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if n, _ := conn.Read(make([]byte, 64<<10)); n > 0 { // not a connection that is only checked
					_, _ = io.WriteString(conn, (head + text)[:<-cut])
				}
			}()
		}
	}()
	raw := platformtest.NewEngine(platformtest.EngineConfig{ID: "raw", Service: service, Domain: "d0", Version: "v1", Address: ln.Addr().String()})
	key, value := raw.Registration(false)
	is.NoErr(c.operator.put(context.Background(), key, value))
	c.engines[0].signal(syscall.SIGTERM)
	c.engines[0].wait(announceDelay + drainTime + exitSlack)
	for at := 0; at < len(head)+len(text); at++ {
		for {
			select {
			case cut <- at:
			default:
			}
			status, body, err := c.post("cut")
			if err == nil && status == http.StatusServiceUnavailable {
				time.Sleep(20 * time.Millisecond) // the endpoint rests or is not known yet
				continue
			}
			if err == nil && status == http.StatusOK {
				t.Errorf("cut after %d bytes: 200 with %q", at, body)
			}
			break
		}
		select {
		case <-cut:
		default:
		}
	}
	cut <- len(head) + len(text)
	c.awaitServed(t, "cut")
}

package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Limits of the process under test, and the clients that misbehave at a time: more than it may have connections.
const (
	clientsMemoryMB = 96
	clientsMaxFDs   = 1000
	clientCount     = 400
)

// peerMessageCount is how many clients send the largest messages of peers.
const peerMessageCount = 40

// Limits of the configuration, which all requests here are within.
const (
	clientHeadBytes = 16 << 10
	clientBodyBytes = 1 << 20
)

// target is a process under test with the addresses that clients reach.
type target struct {
	*process
	edge *edgeEntry // nil: the entry serves the OpenAI interface
	url  string     // of the OpenAI interface
	// ordinary sends one request as a well-behaved client does, and returns an error unless it was answered.
	ordinary func() error
	watch    *processWatch
}

// newEdgeTarget starts an entry with lowered limits before engines whose streams last two seconds and whose
// other answers come at once.
func newEdgeTarget(t *testing.T) *target {
	t.Helper()
	return newEdgeTargetAmong(t, 0)
}

// newEdgeTargetAmong is newEdgeTarget with other endpoints that the entry knows.
func newEdgeTargetAmong(t *testing.T, otherEndpoints int) *target {
	t.Helper()
	c := newEdgeCluster(t, edgeOptions{entries: 1, engines: 2, events: 40, otherEndpoints: otherEndpoints, limits: fleet.Limits{HeaderBytes: clientHeadBytes, BodyBytes: clientBodyBytes},
		settings: fmt.Sprintf("memory_mb: %d\nmax_fds: %d\n", clientsMemoryMB, clientsMaxFDs)})
	e := c.entries[0]
	x := &target{process: e.process, edge: e, watch: watchProcess(t, e.cmd.Process.Pid)}
	x.ordinary = func() error { return e.ordinary("/p/x") }
	return x
}

// ordinary sends a request on a connection of its own.
func (e *edgeEntry) ordinary(path string) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, strings.NewReader("an ordinary body"))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "ordinary")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(raw) != "answer to ordinary") {
		err = fmt.Errorf("status %d, body %q", resp.StatusCode, raw)
	}
	return err
}

// processWatch samples the open descriptors of a process.
type processWatch struct {
	pid    int
	maxFDs atomic.Int64
}

func watchProcess(t *testing.T, pid int) *processWatch {
	w := &processWatch{pid: pid}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				w.maxFDs.Store(max(w.maxFDs.Load(), int64(len(fds))))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return w
}

// peakMemory returns the most memory that the process has had resident, in MB.
func (w *processWatch) peakMemory(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		t.Fatalf("the process is gone: %v", err)
	}
	for line := range strings.Lines(string(raw)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kb), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return n >> 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}

// client is a misbehaving client's connection. It returns when the connection is of no more use; sent is called
// once it has sent what it sends.
type client func(ctx context.Context, conn net.Conn, number int, sent func())

// crowd is a number of clients that misbehave, each on one connection after the other.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startCrowd starts clients and returns once each has sent what it sends.
func startCrowd(count int, address func(number int) string, c client) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	cr := &crowd{cancel: cancel}
	var first sync.WaitGroup
	for number := range count {
		first.Add(1)
		cr.wg.Go(func() {
			var once sync.Once
			for attempt := 1; ctx.Err() == nil; attempt++ {
				if conn, err := net.DialTimeout("tcp", address(number), time.Second); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					c(ctx, conn, number, func() { once.Do(first.Done) })
					stop()
					_ = conn.Close()
				}
				if attempt == maxAttempts {
					once.Do(first.Done)
				}
				sleepContext(ctx, clientPause)
			}
		})
	}
	first.Wait()
	return cr
}

const (
	// clientPause is how long a client waits before its next connection.
	clientPause = 50 * time.Millisecond
	// maxAttempts is after how many connections a crowd does not wait for a client any more.
	maxAttempts = 10
)

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *crowd) stop() {
	c.cancel()
	c.wg.Wait()
}

// play checks that an ordinary request is answered while a crowd is there and after it has left, and that the process
// has kept within its memory and descriptors.
func (x *target) play(t *testing.T, cr *crowd, memoryMB, maxFDs int) {
	t.Helper()
	x.awaitOrdinary(t, "while the clients are there")
	cr.stop()
	x.awaitOrdinary(t, "after the clients have left")
	x.checkBounds(t, memoryMB, maxFDs)
}

func (x *target) awaitOrdinary(t *testing.T, when string) {
	t.Helper()
	var err error
	tries := 0
	for until := time.Now().Add(convergeTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		tries++
		if err = x.ordinary(); err == nil {
			t.Logf("an ordinary request is answered %s, at try %d", when, tries)
			return
		}
	}
	t.Errorf("no ordinary request is answered %s: %v", when, err)
}

func (x *target) checkBounds(t *testing.T, memoryMB, maxFDs int) {
	t.Helper()
	memory, fds := x.watch.peakMemory(t), int(x.watch.maxFDs.Load())
	t.Logf("peak: %d MB of %d, %d descriptors of %d", memory, memoryMB, fds, maxFDs)
	if memory > memoryMB {
		t.Errorf("the process had %d MB, it may have %d", memory, memoryMB)
	}
	if fds > maxFDs {
		t.Errorf("the process had %d descriptors, it may have %d", fds, maxFDs)
	}
}

// checkCallers plays clients at the callers' address of an edge entry.
func checkCallers(t *testing.T, c client) {
	t.Helper()
	x := newEdgeTarget(t)
	x.play(t, startCrowd(clientCount, func(int) string { return x.edge.callers }, c), clientsMemoryMB, clientsMaxFDs)
}

// Paths of the edge cluster's routes.
const (
	slowPath  = "/s/x" // streams for two seconds
	quickPath = "/p/x"
	longPath  = "/w/x" // may take minutes
)

// head returns the lines of a request without the empty one.
func head(path string, number int, more ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c%d\r\n%s", path, number, strings.Join(more, ""))
}

// nameCharacters may be in a header's name; upper case is left out, as names that differ in case are alike.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// shortName returns the shortest names in turn.
func shortName(i int) string {
	n := len(nameCharacters)
	if i < n {
		return nameCharacters[i : i+1]
	}
	return shortName(i/n-1) + nameCharacters[i%n:i%n+1]
}

// fill adds parts to a head as long as it keeps within the limit of a head.
func fill(head string, part func(i int) string) string {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; ; i++ {
		next := part(i)
		if b.Len()+len(next)+len("\r\n\r\n") > clientHeadBytes {
			return b.String()
		}
		b.WriteString(next)
	}
}

func alikeLines(int) string { return "a:\r\n" }

func differentLines(i int) string { return shortName(i) + ":\n" }

// minRounds is how many requests each client sends before the ordinary one.
const minRounds = 3

// sendAndRead returns a client that sends a request and reads until the connection closes or the answer ends, again
// and again.
func sendAndRead(request func(number int) string) client {
	var rounds [clientCount]atomic.Int64
	return func(ctx context.Context, conn net.Conn, number int, sent func()) {
		raw := request(number)
		in := bufio.NewReader(conn)
		for ctx.Err() == nil {
			if rounds[number].Add(1) > minRounds {
				sent()
			}
			if _, err := io.WriteString(conn, raw); err != nil {
				return
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return
			}
		}
	}
}

// sendAndHold returns a client that sends some bytes and then holds the connection without reading.
func sendAndHold(bytes func(number int) string) client {
	return func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, bytes(number)); err != nil {
			return
		}
		sent()
		awaitClosed(ctx, conn)
	}
}

// awaitClosed returns once the other side has closed a connection from which nothing was to be read.
func awaitClosed(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil {
		if _, err := conn.Write([]byte("\n")); err != nil {
			return
		}
		sleepContext(ctx, 200*time.Millisecond)
	}
}

// A single request within the limits is served, however its head is made up.
func TestOneRequestOfManyLinesIsServed(t *testing.T) {
	x := newEdgeTarget(t)
	alone := map[string]string{
		"alike lines":     fill(head(quickPath, 1), alikeLines) + "\r\n",
		"different lines": fill(head(quickPath, 2), differentLines) + "\r\n",
		"prompt parts":    strings.TrimSuffix(fill(head(quickPath, 3, "X-Prompt-Prefix: "), func(i int) string { return shortName(i%2000) + ":1," }), ",") + "\r\n\r\n",
		"long session":    fill(head(quickPath, 4, "Session: "), func(int) string { return "x" }) + "\r\n\r\n",
		"trailers":        strings.TrimSuffix(fill(head(quickPath, 5, "Transfer-Encoding: chunked\r\nTrailer: "), func(i int) string { return shortName(i) + "," }), ",") + "\r\n\r\n1\r\nx\r\n0\r\na:\r\n\r\n",
	}
	for name, raw := range alone {
		conn, err := net.Dial("tcp", x.edge.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, raw); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	x.checkBounds(t, clientsMemoryMB, clientsMaxFDs)
}

// Guards against heads of many lines with one name, each of which takes far more memory than its bytes.
func TestClientsThatSendManyAlikeLines(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string { return fill(head("/none/x", number), alikeLines) + "\r\n" }))
}

// Guards against heads of many lines with different names.
func TestClientsThatSendManyDifferentLines(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string { return fill(head("/none/x", number), differentLines) + "\r\n" }))
}

// Guards against heads that stay in memory for as long as their answers take.
func TestClientsThatAwaitAnswersToManyAlikeLines(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string { return fill(head(slowPath, number), alikeLines) + "\r\n" }))
}

// Guards against heads that stay in memory, and are copied for the endpoint, for as long as their answers take.
func TestClientsThatAwaitAnswersToManyDifferentLines(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string { return fill(head(slowPath, number), differentLines) + "\r\n" }))
}

// Guards against heads that never end: their lines are kept until the time for heads has passed.
func TestClientsWhoseHeadsNeverEnd(t *testing.T) {
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, fill(head(slowPath, number), differentLines)[:clientHeadBytes-8]); err != nil {
			return
		}
		sent()
		_, _ = conn.Read(make([]byte, 1)) // until it is closed
	})
}

// Guards against connections whose heads come byte by byte, which keep others from being accepted.
func TestClientsWhoseHeadsComeByteByByte(t *testing.T) {
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		for i, b := range []byte(fill(head(slowPath, number), alikeLines)) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			if i > 0 {
				sent()
			}
			sleepContext(ctx, 100*time.Millisecond)
			if ctx.Err() != nil {
				return
			}
		}
	})
}

// Guards against connections that were accepted while idle and then all send large heads at once.
func TestClientsWhoseKeptConnectionsSendAtOnce(t *testing.T) {
	var idle sync.WaitGroup
	idle.Add(clientCount)
	var arrived [clientCount]sync.Once
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		in := bufio.NewReader(conn)
		exchange := func(raw string) bool {
			if _, err := io.WriteString(conn, raw); err != nil {
				return false
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err == nil && !resp.Close
		}
		for i := 0; i < 3 && !exchange(head("/none/x", number)+"\r\n"); i++ {
			sleepContext(ctx, clientPause)
		}
		arrived[number].Do(idle.Done)
		idle.Wait()
		sent()
		for exchange(fill(head(slowPath, number), differentLines)+"\r\n") && ctx.Err() == nil {
			continue
		}
	})
}

// Guards against requests that follow each other before they are answered: what was read ahead is counted too.
func TestClientsThatSendRequestsAhead(t *testing.T) {
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		chunked := head("/none/x", number, "Transfer-Encoding: chunked\r\n") + "\r\n1\r\nx\r\n0\r\n\r\n"
		raw := chunked + fill(head(slowPath, number), differentLines) + "\r\n"
		for ctx.Err() == nil {
			if _, err := io.WriteString(conn, raw); err != nil {
				return
			}
			sent()
		}
	})
}

// Guards against prompts of thousands of parts, each of which is kept several times while its request runs.
func TestClientsThatSendThousandsOfPromptParts(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string {
		parts := func(i int) string { return fmt.Sprintf("%x:1,", number<<12+i) }
		if number%2 == 0 {
			parts = func(i int) string { return fmt.Sprintf("%x,", i) }
		}
		return strings.TrimSuffix(fill(head(slowPath, number, "X-Prompt-Prefix: "), parts), ",") + "\r\n\r\n"
	}))
}

// Guards against ids and sessions that fill heads: they are logged, kept and passed on.
func TestClientsThatSendLongIDsAndSessions(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string {
		long := func(i int) string { return fmt.Sprintf("%06d", number*1000+i) }
		if number%2 == 0 {
			return fill(head(slowPath, number, "Session: "), long) + "\r\n\r\n"
		}
		return fill(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ", slowPath), long) + "\r\n\r\n"
	}))
}

// Guards against announced and sent trailers, which are kept like lines of a head.
func TestClientsThatSendManyTrailers(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string {
		names := func(i int) string { return shortName(i) + "," }
		announced := strings.TrimSuffix(fill(head(slowPath, number, "Transfer-Encoding: chunked\r\nTrailer: "), names), ",") + "\r\n\r\n"
		var trailers strings.Builder
		for i := 0; trailers.Len() < 4000; i++ {
			trailers.WriteString(shortName(i) + ":\r\n")
		}
		return announced + "1\r\nx\r\n0\r\n" + trailers.String() + "\r\n"
	}))
}

// Guards against bodies in chunks of one byte.
func TestClientsThatSendChunksOfOneByte(t *testing.T) {
	body := strings.Repeat("1\r\nx\r\n", 200<<10) + "0\r\n\r\n"
	checkCallers(t, sendAndRead(func(number int) string {
		return head(slowPath, number, "Transfer-Encoding: chunked\r\n") + "\r\n" + body
	}))
}

// Guards against bodies that are declared and not sent: their memory is reserved for them.
func TestClientsThatDeclareBodiesAndSendNone(t *testing.T) {
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, head(longPath, number, fmt.Sprintf("Content-Length: %d\r\n", clientBodyBytes))+"\r\n"); err != nil {
			return
		}
		sent()
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	})
}

// Guards against bodies that come too slowly, whose memory is reserved for them.
func TestClientsThatSendBodiesByteByByte(t *testing.T) {
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		if _, err := io.WriteString(conn, head(longPath, number, fmt.Sprintf("Content-Length: %d\r\n", clientBodyBytes))+"\r\n"); err != nil {
			return
		}
		sent()
		for ctx.Err() == nil {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			sleepContext(ctx, 100*time.Millisecond)
		}
	})
}

// Guards against bodies that all come whole and are in memory while their answers are awaited.
func TestClientsThatAwaitAnswersToLargeBodies(t *testing.T) {
	body := strings.Repeat("x", clientBodyBytes)
	checkCallers(t, sendAndRead(func(number int) string {
		return head(slowPath, number, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + "\r\n" + body
	}))
}

// Guards against answers that are not read: each holds a connection and what was written to it.
func TestClientsThatDoNotReadAnswers(t *testing.T) {
	checkCallers(t, sendAndHold(func(number int) string {
		return strings.Repeat(fill(head(quickPath, number), func(int) string { return "b: " + strings.Repeat("x", 500) + "\r\n" })+"\r\n", 20)
	}))
}

// Guards against bodies that wait for the entry's word to come, which holds memory for them.
func TestClientsThatExpectToContinue(t *testing.T) {
	checkCallers(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, head(longPath, number, fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", clientBodyBytes))+"\r\n"); err != nil {
			return
		}
		sent()
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	})
}

// Guards against names listed in Connection, methods and targets that fill heads.
func TestClientsThatSendLongListsAndTargets(t *testing.T) {
	checkCallers(t, sendAndRead(func(number int) string {
		switch number % 3 {
		case 0:
			return strings.TrimSuffix(fill(head(slowPath, number, "Connection: "), func(i int) string { return shortName(i) + "," }), ",") + "\r\n\r\n"
		case 1:
			return head(slowPath+"?"+strings.Repeat("a&", 8000), number) + "\r\n"
		}
		return strings.Replace(head(slowPath, number), "POST", strings.Repeat("M", 16000), 1) + "\r\n"
	}))
}

// Guards against a process that does not end, or restarts into a failure, because clients hold up their requests.
func TestAnEntryStopsAndStartsWhileClientsMisbehave(t *testing.T) {
	x := newEdgeTarget(t)
	address := func(int) string { return x.edge.callers }
	bodies := startCrowd(clientCount/2, address, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, head(longPath, number, fmt.Sprintf("Content-Length: %d\r\n", clientBodyBytes))+"\r\n"); err != nil {
			return
		}
		sent()
		_, _ = io.Copy(io.Discard, conn)
	})
	lines := startCrowd(clientCount/2, address, sendAndRead(func(number int) string {
		return fill(head(slowPath, number), differentLines) + "\r\n"
	}))
	x.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- x.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process did not end by itself: %v", err)
		}
	case <-time.After(convergeTimeout):
		t.Fatal("the process does not end")
	}
	x.restart(t)
	x.watch = watchProcess(t, x.cmd.Process.Pid)
	x.awaitOrdinary(t, "after the restart")
	lines.stop()
	bodies.stop()
	x.awaitOrdinary(t, "after the clients have left")
	x.checkBounds(t, clientsMemoryMB, clientsMaxFDs)
}

// checkOtherAddresses plays clients at the addresses of an edge entry that serve no callers.
func checkOtherAddresses(t *testing.T, c client) {
	t.Helper()
	x := newEdgeTarget(t)
	addresses := []string{x.edge.peers, x.edge.readiness, x.edge.metrics}
	x.play(t, startCrowd(len(addresses)*clientCount, func(number int) string { return addresses[number%len(addresses)] }, c), clientsMemoryMB, clientsMaxFDs)
}

// Guards against connections to the addresses for peers, readiness and metrics, whose number nothing bounds.
func TestClientsThatHoldConnectionsToOtherAddresses(t *testing.T) {
	checkOtherAddresses(t, func(ctx context.Context, conn net.Conn, _ int, sent func()) {
		if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return
		}
		sent()
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	})
}

// Guards against large heads at the addresses for peers, readiness and metrics.
func TestClientsThatSendManyLinesToOtherAddresses(t *testing.T) {
	checkOtherAddresses(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, fill(head("/ready", number), differentLines)[:clientHeadBytes-8]); err != nil {
			return
		}
		sent()
		_, _ = conn.Read(make([]byte, 1)) // until it is closed
	})
}

// Guards against requests that come to the address for peers as if another entry had handed them over.
func TestClientsThatHandOverManyLines(t *testing.T) {
	x := newEdgeTarget(t)
	request := sendAndRead(func(number int) string {
		return fill(head(slowPath, number, "Lovageweir-Handoff: other\r\n"), differentLines) + "\r\n"
	})
	x.play(t, startCrowd(clientCount, func(int) string { return x.edge.peers }, request), clientsMemoryMB, clientsMaxFDs)
}

// Guards against messages of peers that are large: each is read whole.
func TestClientsThatSendLargePeerMessages(t *testing.T) {
	x := newEdgeTarget(t)
	body := strings.Repeat("x", 15<<20)
	request := sendAndRead(func(number int) string {
		return fmt.Sprintf("POST /twirp/lovageweir.mesh.v1.Mesh/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	})
	x.play(t, startCrowd(peerMessageCount, func(int) string { return x.edge.peers }, request), clientsMemoryMB, clientsMaxFDs)
}

// Guards against queries of thousands of parameters, which are decoded at the address for peers.
func TestClientsThatSendLongQueries(t *testing.T) {
	x := newEdgeTarget(t)
	request := sendAndRead(func(int) string {
		query := fill("GET /tunnel/reach?service=svc", func(i int) string { return "&" + shortName(i) })
		return strings.Map(func(r rune) rune {
			if strings.ContainsRune("#%+", r) {
				return 'Z'
			}
			return r
		}, query) + " HTTP/1.1\r\nHost: h\r\n\r\n"
	})
	x.play(t, startCrowd(clientCount, func(int) string { return x.edge.peers }, request), clientsMemoryMB, clientsMaxFDs)
}

// Guards against state dumps and metrics that are not read.
func TestClientsThatDoNotReadDumps(t *testing.T) {
	x := newEdgeTarget(t)
	request := sendAndHold(func(int) string {
		return strings.Repeat("GET /debug/state HTTP/1.1\r\nHost: h\r\n\r\nGET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 20)
	})
	x.play(t, startCrowd(clientCount, func(int) string { return x.edge.peers }, request), clientsMemoryMB, clientsMaxFDs)
}

// defaultMemoryMB is the memory of a process whose settings name none.
const defaultMemoryMB = 128

// Guards against state dumps of a large fleet, each of which is built whole for whoever asks.
func TestClientsThatAskForManyDumps(t *testing.T) {
	x := newEdgeTargetAmong(t, 2000)
	request := sendAndRead(func(int) string { return "GET /debug/state HTTP/1.1\r\nHost: h\r\n\r\n" })
	x.play(t, startCrowd(clientCount, func(int) string { return x.edge.peers }, request), clientsMemoryMB, clientsMaxFDs)
}

// Guards against dumps of a large fleet that are not read.
func TestClientsThatDoNotReadLargeDumps(t *testing.T) {
	x := newEdgeTargetAmong(t, 2000)
	request := sendAndHold(func(int) string { return strings.Repeat("GET /debug/state HTTP/1.1\r\nHost: h\r\n\r\n", 20) })
	x.play(t, startCrowd(clientCount, func(int) string { return x.edge.peers }, request), clientsMemoryMB, clientsMaxFDs)
}

// newEntryTarget starts an entry of the OpenAI interface before engines that answer at once and a service that
// takes two seconds. It has as many descriptors as its resource limit allows.
func newEntryTarget(t *testing.T) *target {
	t.Helper()
	c := startCluster(t, clusterOptions{entries: 1, work: "2s", maxFDs: clientsMaxFDs})
	e := c.entries[0]
	x := &target{process: e.process, url: e.url, watch: watchProcess(t, e.cmd.Process.Pid)}
	x.ordinary = func() error {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		req, err := http.NewRequest(http.MethodPost, e.url+"/v1/chat/completions", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"ordinary"}],"max_tokens":2}`))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer ka")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		return err
	}
	return x
}

// checkEntry plays clients at an entry of the OpenAI interface.
func checkEntry(t *testing.T, c client) {
	t.Helper()
	x := newEntryTarget(t)
	address := strings.TrimPrefix(x.url, "http://")
	x.play(t, startCrowd(clientCount, func(int) string { return address }, c), defaultMemoryMB, clientsMaxFDs)
}

const (
	chatPath    = "/v1/chat/completions"
	servicePath = "/v1/services/postings/x" // takes two seconds
)

// entryHead is head with an API key.
func entryHead(path string, number int, more ...string) string {
	return head(path, number, append([]string{"Authorization: Bearer ka\r\n"}, more...)...)
}

// Guards against heads of many lines at an entry of the OpenAI interface.
func TestEntryClientsThatAwaitAnswersToManyDifferentLines(t *testing.T) {
	checkEntry(t, sendAndRead(func(number int) string {
		return fill(entryHead(servicePath, number, "Content-Length: 0\r\n"), differentLines) + "\r\n"
	}))
}

// Guards against heads of a megabyte at an entry of the OpenAI interface.
func TestEntryClientsThatSendHeadsOfAMegabyte(t *testing.T) {
	request := strings.Repeat("a:\r\n", 200_000)
	checkEntry(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, entryHead(servicePath, number)+request); err != nil {
			return
		}
		sent()
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	})
}

// Guards against bodies that are declared and not sent to an entry of the OpenAI interface.
func TestEntryClientsThatDeclareBodiesAndSendNone(t *testing.T) {
	checkEntry(t, func(ctx context.Context, conn net.Conn, number int, sent func()) {
		if _, err := io.WriteString(conn, entryHead(servicePath, number, "Content-Length: 1000000\r\n")+"\r\n"); err != nil {
			return
		}
		sent()
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	})
}

// Guards against large bodies at an entry of the OpenAI interface, which are in memory until they are answered.
func TestEntryClientsThatAwaitAnswersToLargeBodies(t *testing.T) {
	body := strings.Repeat("x", clientBodyBytes)
	checkEntry(t, sendAndRead(func(number int) string {
		return entryHead(servicePath, number, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + "\r\n" + body
	}))
}

// Guards against bodies of very many members, which take far more memory once they are decoded.
func TestEntryClientsThatSendBodiesOfManyMembers(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"model":"m","messages":[{"role":"user","content":"x"}]`)
	for i := 0; b.Len() < clientBodyBytes/2; i++ {
		fmt.Fprintf(&b, `,"%x":1`, i)
	}
	b.WriteString("}")
	checkEntry(t, sendAndRead(func(number int) string {
		return entryHead(chatPath, number, fmt.Sprintf("Content-Length: %d\r\n", b.Len())) + "\r\n" + b.String()
	}))
}

// Guards against messages of peers that are large, at the address for callers of an entry of the OpenAI interface.
func TestEntryClientsThatSendLargePeerMessages(t *testing.T) {
	x := newEntryTarget(t)
	address := strings.TrimPrefix(x.url, "http://")
	body := strings.Repeat("x", 15<<20)
	request := sendAndRead(func(number int) string {
		return fmt.Sprintf("POST /twirp/lovageweir.peer.v1.Peer/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	})
	x.play(t, startCrowd(peerMessageCount, func(int) string { return address }, request), defaultMemoryMB, clientsMaxFDs)
}

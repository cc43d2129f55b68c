package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// readyTimeout bounds how long a test waits for a process to respond.
const readyTimeout = 10 * time.Second

var (
	buildOnce sync.Once
	binDir    string
	buildErr  error
)

// buildBinaries builds lovageweir and lovagectl once per test run.
func buildBinaries(t *testing.T) (entry, ctl string) {
	t.Helper()
	buildOnce.Do(func() {
		binDir, buildErr = os.MkdirTemp("", "lovageweir-e2e-")
		if buildErr != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", binDir+"/", "../cmd/lovageweir", "../cmd/lovagectl")
		out, err := cmd.CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %v\n%s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return filepath.Join(binDir, "lovageweir"), filepath.Join(binDir, "lovagectl")
}

// Processes under test listen on ports below the kernel's ephemeral range. A port
// taken from that range and released is soon reused: with tests of other packages
// running in parallel, a process found its address in use, or a test reached
// another package's server.
const (
	firstPort = 24000
	portCount = 8000
)

// nextPort is where the search for a free port continues. It starts at an offset
// derived from the process id, so that parallel runs use different ports.
var nextPort atomic.Int64

// freeAddr returns a loopback address that no process listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(os.Getpid()*97%portCount)+1)
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is a child process that is killed when the test ends.
type process struct {
	cmd *exec.Cmd
	out *strings.Builder
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(name, args...), out: &strings.Builder{}}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Logf("%s output:\n%s", filepath.Base(name), p.out.String())
		}
	})
	return p
}

// startLimited starts a process that may open maxFDs descriptors; 0: as many as the test.
func startLimited(t *testing.T, maxFDs int, name string, args ...string) *process {
	t.Helper()
	if maxFDs == 0 {
		return startProcess(t, name, args...)
	}
	return startProcess(t, "sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxFDs), name}, args...)...)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// restart starts the program again with the same arguments, as the platform does.
func (p *process) restart(t *testing.T) {
	t.Helper()
	*p = *startProcess(t, p.cmd.Path, p.cmd.Args[1:]...)
}

func copyBody(w io.Writer, resp *http.Response) (int64, error) { return io.Copy(w, resp.Body) }

// convergeTimeout bounds how long a cluster may take to reach the state that a
// test waits for. It is far above the usual time, so that tests do not fail on a
// slow machine; speed is measured by the benchmarks.
const convergeTimeout = 60 * time.Second

// eventually polls until ok returns true, and fails the test after convergeTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(convergeTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitHTTP polls url until it responds with status 200, and fails the test after
// readyTimeout.
func waitHTTP(t *testing.T, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatalf("%s did not respond with status 200 within %v", url, readyTimeout)
}

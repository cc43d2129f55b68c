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

// readyWait bounds how long a test waits for a process to answer.
const readyWait = 10 * time.Second

var (
	buildOnce sync.Once
	binDir    string
	buildErr  error
)

// binaries builds lovageweir and lovagectl once per test run.
func binaries(t *testing.T) (entry, ctl string) {
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

// Processes under test listen below the range that the kernel hands out to
// connections. Ports taken from that range and released are soon someone
// else's: with other packages' tests running beside these, a process found
// its address in use, or a test reached another package's server.
const (
	firstPort = 24000
	ports     = 8000
)

// nextPort is where the search goes on; runs side by side start apart.
var nextPort atomic.Int64

// freeAddr returns a loopback address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(os.Getpid()*97%ports)+1)
	for range ports {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// proc is one child process; it is killed when the test ends.
type proc struct {
	cmd *exec.Cmd
	out *strings.Builder
}

func start(t *testing.T, name string, args ...string) *proc {
	t.Helper()
	p := &proc{cmd: exec.Command(name, args...), out: &strings.Builder{}}
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

func (p *proc) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// restart starts the same program again, as the platform does.
func (p *proc) restart(t *testing.T) {
	t.Helper()
	*p = *start(t, p.cmd.Path, p.cmd.Args[1:]...)
}

func copyAll(w io.Writer, resp *http.Response) (int64, error) { return io.Copy(w, resp.Body) }

// settleWait bounds how long a cluster may take to come to what a test
// waits for. It is far above what it takes, so that a slow machine gives the
// same verdict; how fast things are is for the benchmarks.
const settleWait = 60 * time.Second

// eventually polls until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(settleWait)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("still not true: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitHTTP polls url until it answers 200 or readyWait passes.
func waitHTTP(t *testing.T, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
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
	t.Fatalf("%s did not answer 200 within %v", url, readyWait)
}

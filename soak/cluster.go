package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageweir/lovageweir/command/standin"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// The cluster's service, host and API key.
const (
	service = "svc"
	host    = "soak.example"
	apiKey  = "soak-key"
)

// process is a process that the soak has started.
type process struct {
	name string
	args []string
	mu   sync.Mutex // guards cmd and boot
	cmd  *exec.Cmd
	boot int
}

func (p *process) start(log string) error {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.boot++
	return p.cmd.Start()
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // the process may already have exited
}

// wait waits until the process has exited, and kills it after limit.
func (p *process) wait(limit time.Duration) {
	kill := time.AfterFunc(limit, func() { p.signal(syscall.SIGKILL) })
	defer kill.Stop()
	_ = p.cmd.Wait() // the soak itself ends processes, so any exit status is expected
}

func (p *process) currentBoot() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boot
}

// entry is an entry process with the proxy between it and the store.
type entry struct {
	*process
	callers    string // address that it serves callers on
	readiness  string // address of its readiness
	storeProxy *Proxy
	egress     *Egress // between it and all engines; nil: none
	link       *link   // its network link; nil: unbounded
	memoryMB   int     // its memory bound; 0: none
	share      float64 // of a core that it may use; 0: all
}

// engine is an engine stand-in process with the proxy in front of it.
type engine struct {
	*process
	proxy    *Proxy
	logPath  string
	service  string
	domain   string
	hasLimit bool // it reports a rate limit
}

type cluster struct {
	dir          string
	store        *process
	storeClient  *platform.Store
	storeAddress string
	operator     *operator
	entries      []*entry
	mu           sync.Mutex // guards engines, fragile and version
	engines      []*engine
	fragile      []*engine // engines of the fragile service
	version      int64
	processes    []*process
	ctl          string
	engineCount  int  // engines of the service that run at a time
	skew         bool // entries have a bounded share of a core
	restores     bool // the store comes back from copies
	alone        bool // there are no other faults
	cuts         bool // entries have a proxy between them and all engines
	options      Options
	grace        time.Duration // time of entries between SIGTERM and SIGKILL
}

// newCluster starts the store, engines and entries.
func newCluster(o Options) (*cluster, error) {
	c := &cluster{dir: o.Dir, ctl: o.CtlPath, engineCount: o.Engines, skew: o.Skew, cuts: o.Cuts, restores: o.Restores, alone: o.Alone, options: o, grace: o.grace()}
	c.storeAddress = freeAddress()
	c.store = &process{name: "store", args: []string{c.ctl, "standin", "platform-store", "--listen", c.storeAddress}}
	if err := c.startProcess(c.store); err != nil {
		return nil, err
	}
	c.storeClient = platform.NewStore(c.storeAddress)
	c.operator = newOperator(c)
	if err := c.writeConfig(); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		if err := c.addEngine(i, service, "v1"); err != nil {
			return nil, err
		}
	}
	for i := range o.slowEngines() {
		if err := c.addEngine(firstSlowNumber+i, slowService, "v1"); err != nil {
			return nil, err
		}
	}
	for i := range o.Entries {
		if err := c.addEntry(i, o.EdgePath); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// domainOf returns the failure domain of the entry or engine of a number.
func domainOf(number int) string { return fmt.Sprintf("d%d", number%domains) }

// programNames begin the line with which a program ends that cannot run.
var programNames = []string{"lovageweir: ", "lovagectl: "}

// failedStarts returns a finding for each process that did not start, by its log.
func (c *cluster) failedStarts() (findings []string) {
	for _, p := range c.processes {
		raw, err := os.ReadFile(c.logPath(p.name))
		if err != nil {
			findings = append(findings, fmt.Sprintf("log of %s cannot be read: %v", p.name, err))
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if slices.ContainsFunc(programNames, func(name string) bool { return strings.HasPrefix(line, name) }) {
				findings = append(findings, fmt.Sprintf("%s did not start: %s", p.name, strings.TrimSpace(line)))
				break
			}
		}
	}
	return findings
}

// domains is the number of failure domains.
const domains = 2

func (c *cluster) startProcess(p *process) error {
	c.processes = append(c.processes, p)
	return p.start(c.logPath(p.name))
}

func (c *cluster) logPath(name string) string { return filepath.Join(c.dir, name+".log") }

func (c *cluster) addEngine(i int, service, version string) error {
	address := freeAddress()
	proxy, err := NewProxy(address)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("engine-%d-%s-%d", i, version, time.Now().UnixNano())
	domain := domainOf(i)
	e := &engine{proxy: proxy, logPath: c.logPath(name), service: service, domain: domain, process: &process{name: name, args: []string{c.ctl, "standin", "platform-engine", "--listen", address,
		"--advertise", proxy.Address, "--store", c.storeAddress, "--id", name, "--service", service, "--domain", domain, "--software", version, "--cold", coldTimeOf(i).String(),
		"--faults", c.engineFaults(), "--events", strconv.Itoa(streamEvents), "--pause", eventPause(service).String(), "--work", callWork.String(), "--serves-on", drainTime.String(), "--retry-after", fmt.Sprint(restTime.Seconds()), "--announces-after", announceDelayOf(i).String()}}}
	e.args = append(e.args, c.options.engineArgs(i)...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
	return c.startProcess(e.process)
}

// engineFaults returns the share of requests that meet a fault at an engine.
func (c *cluster) engineFaults() string {
	if c.alone {
		return "0"
	}
	return "0.03"
}

func (c *cluster) addEntry(i int, bin string) error {
	proxy, err := NewProxy(c.storeAddress)
	if err != nil {
		return err
	}
	e := &entry{callers: freeAddress(), readiness: freeAddress(), storeProxy: proxy}
	extra := ""
	if c.cuts {
		if e.egress, err = NewEgress(); err != nil {
			return err
		}
		extra = fmt.Sprintf("egress_proxy: %q\n", e.egress.Address)
	}
	callers := e.callers
	if c.skew {
		if err := c.boundEntry(e, i); err != nil {
			return err
		}
		extra += fmt.Sprintf("memory_mb: %d\ncpu_share: %g\nlink_mbps: %g\negress_proxy: %q\n", e.memoryMB, e.share, e.link.mbps, e.egress.Address)
	}
	if c.options.boundsMemory() {
		e.memoryMB = loadedEntryMemoryMB
		extra += fmt.Sprintf("memory_mb: %d\n", e.memoryMB)
	}
	if c.options.Misbehaving {
		extra += fmt.Sprintf("max_fds: %d\n", misbehavingFDs)
	}
	path := filepath.Join(c.dir, fmt.Sprintf("entry-%d.yaml", i))
	settings := fmt.Sprintf("instance: entry-%d\ndomain: %s\nstore: %q\nlisten: {callers: %q, readiness: %q, peers: %q, loads: %q}\nbounds: {grace_s: %g}\n%s",
		i, domainOf(i), proxy.Address, callers, e.readiness, freeAddress(), freeAddress(), c.grace.Seconds(), extra)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	e.process = &process{name: fmt.Sprintf("entry-%d", i), args: []string{bin, "edge", "--settings", path}}
	c.entries = append(c.entries, e)
	return c.startProcess(e.process)
}

// writeConfig writes the next configuration version: a route for each kind of
// request, and one whose prefix contains the version.
func (c *cluster) writeConfig() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	to := []fleet.Target{{Service: service, Weight: 1}}
	route := func(name string, kind fleet.Kind, attempts int, resumable bool) fleet.Route {
		return fleet.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: requestTimeout, Objective: 500 * time.Millisecond,
			MaxGap: time.Second, MaxAttempts: attempts, Resumable: resumable, Targets: to}
	}
	cfg := &fleet.Config{Version: c.version, Services: map[string]fleet.Service{service: {Name: service, ColdFor: coldTime, ColdPerSecond: coldPerSecond}},
		Customers: []fleet.Customer{{Name: "cust", Keys: []string{apiKey, keyOf(c.version)}}}, Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20},
		Routes: []fleet.Route{route("post", fleet.NonIdempotent, 1, false), route("get", fleet.Idempotent, 3, false),
			route("once", fleet.Streaming, 3, false), route("resume", fleet.Streaming, 3, true), route(versionRoute(c.version), fleet.Idempotent, 2, false)}}
	if c.options.Surge {
		cfg.Customers = append(cfg.Customers, fleet.Customer{Name: "surging", Keys: []string{surgingKey}})
	}
	cfg.Routes[3].Models = []string{"small", "large"}
	cfg.Services[slowService] = fleet.Service{Name: slowService}
	long, call := route(kindLong, fleet.Streaming, 1, false), route(kindCall, fleet.NonIdempotent, 1, false)
	long.Timeout = longTimeout
	long.Targets = []fleet.Target{{Service: slowService, Weight: 1}}
	call.Targets = long.Targets
	cfg.Services[fragileService] = fleet.Service{Name: fragileService}
	fragile := route(kindFragile, fleet.Streaming, 3, true)
	fragile.Targets = []fleet.Target{{Service: fragileService, Weight: 1}}
	cfg.Routes = append(cfg.Routes, long, call, fragile)
	err := c.operator.putConfig(context.Background(), c.version, platformtest.EncodeConfig(cfg))
	for try := 0; err != nil && try < 50; try++ { // the store may still be starting
		time.Sleep(100 * time.Millisecond)
		err = c.operator.putConfig(context.Background(), c.version, platformtest.EncodeConfig(cfg))
	}
	return err
}

func versionRoute(version int64) string { return fmt.Sprintf("mark-%d", version) }

func (c *cluster) latestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// throttleEntries bounds the processor share of all entries until ctx ends.
func (c *cluster) throttleEntries(ctx context.Context) {
	for _, e := range c.entries {
		go throttle(ctx, e.process, e.share)
	}
}

// boundEntry gives an entry a share of a core, memory and a link.
func (c *cluster) boundEntry(e *entry, number int) (err error) {
	factor := 1
	if number%largeEntryEvery == 0 {
		factor = largeEntryFactor
	}
	e.memoryMB, e.share = factor*skewedEntryMemoryMB, float64(factor)*skewedEntryShare
	e.link = newLink(float64(factor * skewedEntryMbps))
	if e.egress, err = NewEgress(); err != nil {
		return err
	}
	e.egress.link = e.link
	e.callers, err = e.link.listen(e.callers)
	return err
}

// stop kills all processes and closes all proxies.
func (c *cluster) stop() {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
	}
	for _, e := range c.entries {
		e.storeProxy.Close()
		if e.egress != nil {
			e.egress.Close()
		}
		if e.link != nil {
			e.link.close()
		}
	}
	for _, e := range c.engines {
		e.proxy.Close()
	}
}

// engineRuns reads from the engines' logs which requests they ran.
func (c *cluster) engineRuns() (*runLog, error) {
	out := &runLog{counts: map[string]int{}, leftAt: map[string]time.Time{}, coldUntil: map[string]time.Time{}, domainOf: map[string]string{}}
	for _, e := range append(slices.Clone(c.engines), c.fragile...) {
		out.domainOf[e.name] = e.domain
		f, err := os.Open(e.logPath)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var line standin.EngineLine
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				continue
			}
			if line.RestMS > 0 {
				out.refused = append(out.refused, run{id: line.ID, engine: line.Engine, at: time.UnixMilli(line.AtMS), rest: time.Duration(line.RestMS) * time.Millisecond})
				continue
			}
			if line.ID != "" {
				out.counts[line.ID]++
				out.runs = append(out.runs, run{id: line.ID, engine: line.Engine, at: time.UnixMilli(line.AtMS), fault: line.Fault, leaving: line.Leaving})
			}
			if line.ColdUntilMS > 0 && e.service == service { // the configuration names no limit for others
				out.coldUntil[line.Engine] = time.UnixMilli(line.ColdUntilMS)
			}
			if line.LeftMS > 0 {
				at := time.UnixMilli(line.LeftMS)
				if known, ok := out.leftAt[line.Engine]; !ok || c.operator.dueAfterRestores(known, leavingBound) != known.Add(leavingBound) {
					out.leftAt[line.Engine] = at // said again after a restore
				}
			}
		}
		f.Close()
	}
	return out, nil
}

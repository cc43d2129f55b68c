package endpoints

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// Bounds of polling.
const (
	// PollInterval is how often load reports and the instance list are read:
	// at the target size a second of it costs a node 3 KB/s
	// (docs/CAPACITY.md). Between reports an entry counts its own requests.
	PollInterval = 2 * time.Second
	pollWait     = 800 * time.Millisecond
	// pollWorkers bounds the load requests a poller has open at once.
	pollWorkers = 8
	maxReport   = 1 << 20
	// listHolders is how many entries of a domain read the instance list.
	listHolders = 2
)

// Shares tells what this entry polls; peers.Table implements it.
type Shares interface {
	// Holds reports whether this entry is among the first n of its failure
	// domain for subject.
	Holds(subject string, n int) bool
}

// Poller reads load reports and the instance list.
type Poller struct {
	table  *Table
	tables func() *route.Table
	shares Shares
	domain string
	life   int64
	list   string // base URL of the instance list; empty: none
	hc     *http.Client
	log    *slog.Logger

	seq  int64       // rounds so far; orders this entry's reports
	kept kv.Revision // the configuration the table was last pruned to

	mu    sync.Mutex
	seeds []string // entries the list last named
}

// NewPoller returns a poller into table for the back ends of domain. life
// tells this process's reports from those of an earlier one.
func NewPoller(table *Table, tables func() *route.Table, shares Shares, domain string, life int64, list string, log *slog.Logger) *Poller {
	return &Poller{table: table, tables: tables, shares: shares, domain: domain, life: life, list: list, log: log,
		hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// Poll makes one round.
func (p *Poller) Poll(ctx context.Context) {
	p.seq++
	ctx, cancel := context.WithTimeout(ctx, pollWait)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.list != "" && p.shares.Holds("instances", listHolders) {
		wg.Add(1)
		go func() { defer wg.Done(); p.pollList(ctx) }()
	}
	t := p.tables()
	if t == nil {
		return
	}
	if t.Revision != p.kept {
		p.kept = t.Revision
		p.table.Keep(t.HasBackend)
	}
	work := make(chan route.BackendInfo)
	for range pollWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for b := range work {
				p.pollLoad(ctx, b)
			}
		}()
	}
	for _, b := range t.Engines(p.domain) {
		if p.shares.Holds(b.Name, 1) {
			work <- b
		}
	}
	close(work)
}

func (p *Poller) pollLoad(ctx context.Context, b route.BackendInfo) {
	var l openai.LoadReport
	if err := p.get(ctx, "http://"+b.Address+openai.PathLoad, &l); err != nil {
		// No report is no verdict: requests themselves show whether it is
		// well. The old report ages out.
		p.log.Debug("endpoints: no load report.", "backend", b.Name, "error", err)
		return
	}
	r := Report{Load: l.InFlight, Life: p.life, Seq: p.seq}
	if l.Model != "" {
		r.Version = l.Model + "@" + l.Version
	}
	p.table.Reported(b.Name, r)
	if l.Draining {
		p.table.Draining(b.Name)
	}
}

func (p *Poller) pollList(ctx context.Context) {
	var l openai.InstanceList
	if err := p.get(ctx, strings.TrimSuffix(p.list, "/")+openai.PathInstances, &l); err != nil {
		p.log.Debug("endpoints: no instance list.", "error", err)
		return
	}
	var leaving, seeds []string
	for _, i := range l.Instances {
		switch {
		case i.Kind == openai.InstanceEntry && i.State == openai.InstanceLive:
			seeds = append(seeds, "http://"+i.Address)
		case i.Kind != openai.InstanceEntry && i.State == openai.InstanceLeaving:
			leaving = append(leaving, i.Name)
		}
	}
	p.mu.Lock()
	p.seeds = seeds
	p.mu.Unlock()
	if p.table.Listed(l.Revision, leaving) && len(leaving) > 0 {
		p.log.Info("endpoints: the instance list names leaving back ends.", "leaving", leaving, "list_revision", l.Revision)
	}
}

// Seeds returns the base URLs of the entries the list last named.
func (p *Poller) Seeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.seeds...)
}

func (p *Poller) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := p.hc.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(out))
}

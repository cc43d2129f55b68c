package endpoints

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/upstream"
)

// Polling intervals and limits.
const (
	// PollInterval is how often load reports and the instance list are read.
	// At the target size this costs a node 3 KB/s (docs/CAPACITY.md). Between
	// reports an entry counts its own requests.
	PollInterval = 2 * time.Second
	pollTimeout  = 800 * time.Millisecond
	// pollWorkers limits the concurrent load requests of a poller.
	pollWorkers      = 8
	maxResponseBytes = 1 << 20
	maxHeaderBytes   = 16 << 10
	// listPollers is how many entries of a domain read the instance list.
	listPollers = 2
)

// Assignments decides what this entry polls; peers.Table implements it.
type Assignments interface {
	// IsResponsible reports whether this entry is among the n entries of its failure
	// domain that are assigned subject.
	IsResponsible(subject string, n int) bool
}

// Poller reads load reports and the instance list.
type Poller struct {
	table        *Table
	currentTable func() *route.Table
	assignments  Assignments
	domain       string
	incarnation  int64
	listURL      string // base URL of the instance list; empty if there is none
	client       *http.Client
	log          *slog.Logger

	seq            int64       // rounds so far; orders the reports of this poller
	prunedRevision kv.Revision // configuration revision the table was last pruned to

	mu    sync.Mutex
	seeds []string // base URLs of the live entries in the last instance list
}

// NewPoller returns a poller that updates table for the back ends of domain.
// incarnation distinguishes the reports of this process from those of an
// earlier one.
func NewPoller(table *Table, currentTable func() *route.Table, assignments Assignments, domain string, incarnation int64, listURL string, log *slog.Logger) *Poller {
	return &Poller{table: table, currentTable: currentTable, assignments: assignments, domain: domain, incarnation: incarnation, listURL: listURL, log: log,
		client: upstream.NewClient(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}, maxResponseBytes)}
}

// Poll runs one polling round.
func (p *Poller) Poll(ctx context.Context) {
	p.seq++
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.listURL != "" && p.assignments.IsResponsible("instances", listPollers) {
		wg.Add(1)
		go func() { defer wg.Done(); p.pollList(ctx) }()
	}
	t := p.currentTable()
	if t == nil {
		return
	}
	if t.Revision != p.prunedRevision {
		p.prunedRevision = t.Revision
		p.table.Prune(t.HasBackend)
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
		if p.assignments.IsResponsible(b.Name, 1) {
			work <- b
		}
	}
	close(work)
}

func (p *Poller) pollLoad(ctx context.Context, b route.BackendInfo) {
	var l openai.LoadReport
	if err := p.get(ctx, "http://"+b.Address+openai.PathLoad, &l); err != nil {
		// A missing report does not count as a failure: requests themselves
		// show whether the back end works. The previous report expires.
		p.log.Debug("endpoints: cannot read the load report.", "backend", b.Name, "error", err)
		return
	}
	r := Report{Load: l.InFlight, Incarnation: p.incarnation, Seq: p.seq}
	if l.Model != "" {
		r.Version = l.Model + "@" + l.Version
	}
	p.table.RecordReport(b.Name, r)
	if l.Draining {
		p.table.Draining(b.Name, 0)
	}
}

func (p *Poller) pollList(ctx context.Context) {
	var l openai.InstanceList
	if err := p.get(ctx, strings.TrimSuffix(p.listURL, "/")+openai.PathInstances, &l); err != nil {
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
	if p.table.ApplyInstanceList(l.Revision, leaving) && len(leaving) > 0 {
		p.log.Info("endpoints: the instance list names leaving back ends.", "leaving", leaving, "list_revision", l.Revision)
	}
}

// Seeds returns the base URLs of the live entries in the last instance list.
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
	resp, err := p.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

package mesh

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Telling of loads.
const (
	// tellInterval is the time between regular tellings while there are few entries
	// to tell, tellLarge where there are more than tellAll. In between, work that
	// others should know of is told at once. With regular tellings alone, 195 entries
	// before 124 engines knew so little of each other's long prompts that the 90th
	// percentile of the wait at an engine was 305 ms; with these it is 82 ms
	// (place.TestACrowdOfEntriesDoesNotHerd), for as many datagrams.
	tellInterval = 250 * time.Millisecond
	tellLarge    = time.Second
	// tellEach is the time in which an entry may send one datagram, so that it sends
	// and takes no more than some hundred a second; tellBurst is how many it may
	// send after a pause.
	tellEach  = 8 * time.Millisecond
	tellBurst = 200
	// tellAll is up to how many entries all are told; beyond, those of the
	// own failure domain, whose engines an entry mostly uses.
	tellAll = 16
	// mostTold bounds the entries told, drawn anew each time: more than two failure
	// domains have at the size that is planned for.
	mostTold = 96
	// mostDatagram fits an Ethernet frame.
	mostDatagram = 1400
	// mostEndpoints, mostLoads and mostLimits fit a datagram together.
	mostEndpoints = 70
	mostLoads     = 50
	mostLimits    = 25
)

// LoadsDeps is what the telling of loads needs.
type LoadsDeps struct {
	Instance, Domain string
	Address          string // IP:port, for datagrams
	Fleet            *fleet.Follower
	Board            *place.Board
	Budget           *retry.Budget
	Limits           *ratelimit.Limits
	Clock            clockwork.Clock
	Log              *slog.Logger
}

// Loads tells other entries what work this one has outstanding at which endpoint, what
// endpoints told it of their load, how many repeats it makes, and how many requests it has
// sent to endpoints that name a limit; and it takes what they tell. Datagrams fit: one that is lost or late is worth nothing a moment later.
type Loads struct {
	LoadsDeps
	conn  net.PacketConn
	quiet bool // the last datagram told of nothing
	pace  pace
}

// NewLoads returns the telling of loads.
func NewLoads(d LoadsDeps) *Loads { return &Loads{LoadsDeps: d} }

// Run tells and listens until ctx ends.
func (l *Loads) Run(ctx context.Context) {
	conn, err := net.ListenPacket("udp", l.Address)
	if err != nil {
		l.Log.Error("mesh: loads are not told; placing goes by this entry's own.", "address", l.Address, "error", err)
		return
	}
	l.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go l.listen()
	go l.runLimits(ctx)
	for l.awaitTurn(ctx) {
		others := l.others()
		l.pace.sent(len(others))
		l.tell(others)
	}
}

// awaitTurn waits until there is something to tell and it may be told; it reports
// whether ctx has not ended.
func (l *Loads) awaitTurn(ctx context.Context) bool {
	regular := tellInterval
	if len(l.Fleet.View().Entries) > tellAll {
		regular = tellLarge
	}
	select {
	case <-l.Clock.After(time.Duration(float64(regular) * (0.9 + rand.Float64()/5))):
	case <-l.Board.Grew():
	case <-ctx.Done():
		return false
	}
	wait := l.pace.wait(l.Clock.Now())
	if wait <= 0 {
		return true
	}
	select {
	case <-l.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// pace bounds the datagrams sent; the zero pace may send a burst. It is not safe for
// concurrent use.
type pace struct {
	credit float64 // datagrams that may be sent now; below zero: owed
	at     time.Time
}

// wait is how long no more may be sent.
func (p *pace) wait(now time.Time) time.Duration {
	p.credit = min(tellBurst, p.credit+float64(now.Sub(p.at))/float64(tellEach))
	p.at = now
	return time.Duration(max(0, -p.credit) * float64(tellEach))
}

// sent notes datagrams that were sent.
func (p *pace) sent(n int) { p.credit -= float64(n) }

// others are the addresses to tell: in a large fleet those that use the same engines,
// which are the entries of the own failure domain and of those where this one has long
// work outstanding. A long prompt that goes to the engine whose cache holds a part of it
// goes mostly to another domain, and the entries there would send to that engine too.
func (l *Loads) others() []string {
	entries := l.Fleet.View().Entries
	domains := l.Board.WorkDomains()
	domains[l.Domain] = true
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Instance == l.Instance || e.Loads == "" {
			continue
		}
		if len(entries) <= tellAll || domains[e.Domain] {
			out = append(out, e.Loads)
		}
	}
	if len(out) > mostTold {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:mostTold]
	}
	return out
}

func (l *Loads) tell(others []string) {
	raw, empty, err := l.Datagram()
	if err != nil {
		l.Log.Error("mesh: loads cannot be encoded.", "error", err)
		return
	}
	if empty && l.quiet {
		return
	}
	l.quiet = empty
	l.send(raw, others)
}

func (l *Loads) send(raw []byte, others []string) {
	for _, address := range others {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue // another entry's registration is broken; it will show there
		}
		_, _ = l.conn.WriteTo(raw, to) // a datagram may be lost anyway
	}
}

// Datagram is what this entry tells others now; empty: it is nothing that they would miss.
func (l *Loads) Datagram() (raw []byte, empty bool, err error) {
	msg := &meshpb.Load{Instance: l.Instance}
	for id, work := range l.Board.Outstanding() {
		if len(msg.Endpoint) == mostEndpoints {
			break
		}
		msg.Endpoint = append(msg.Endpoint, place.ShortID(id))
		msg.WorkMs = append(msg.WorkMs, uint32(work.Milliseconds()))
	}
	for _, t := range l.Board.Reports() {
		if len(msg.Loaded) == mostLoads {
			break
		}
		msg.Loaded = append(msg.Loaded, t.Endpoint)
		msg.Running = append(msg.Running, uint32(t.Running))
		msg.Waiting = append(msg.Waiting, uint32(t.Waiting))
		msg.LoadAgeMs = append(msg.LoadAgeMs, uint32(t.Age.Milliseconds()))
	}
	l.addLimits(msg)
	empty = len(msg.Endpoint)+len(msg.Loaded)+len(msg.Limited) == 0
	for _, c := range l.Budget.Counts() {
		msg.Service = append(msg.Service, c.Service)
		msg.Requests = append(msg.Requests, uint32(c.Requests))
		msg.Repeats = append(msg.Repeats, uint32(c.Repeats))
		msg.Failures = append(msg.Failures, uint32(c.Failures))
	}
	raw, err = proto.Marshal(msg)
	return raw, empty, err
}

func (l *Loads) listen() {
	buf := make([]byte, mostDatagram)
	for {
		n, _, err := l.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram met a closed port
		}
		l.Hear(buf[:n])
	}
}

// Hear takes a datagram of another entry.
func (l *Loads) Hear(raw []byte) {
	var msg meshpb.Load
	if err := proto.Unmarshal(raw, &msg); err != nil || !even(&msg) {
		l.Log.Debug("mesh: datagram is no load.", "bytes", len(raw))
		return
	}
	l.hearLimits(&msg)
	if msg.LimitsOnly {
		return
	}
	work := make(map[uint32]time.Duration, len(msg.Endpoint))
	for i, id := range msg.Endpoint {
		work[id] = time.Duration(msg.WorkMs[i]) * time.Millisecond
	}
	l.Board.Hear(msg.Instance, work)
	loads := make([]place.ToldLoad, 0, len(msg.Loaded))
	for i, id := range msg.Loaded {
		loads = append(loads, place.ToldLoad{Endpoint: id, Running: int(msg.Running[i]), Waiting: int(msg.Waiting[i]),
			Age: time.Duration(msg.LoadAgeMs[i]) * time.Millisecond})
	}
	l.Board.HearLoads(loads)
	counts := make([]retry.ServiceCount, 0, len(msg.Service))
	for i, service := range msg.Service {
		counts = append(counts, retry.ServiceCount{Service: service,
			Count: retry.Count{Requests: float64(msg.Requests[i]), Repeats: float64(msg.Repeats[i]), Failures: float64(msg.Failures[i])}})
	}
	l.Budget.Hear(msg.Instance, counts)
}

// even reports whether the columns of a datagram are of equal length.
func even(msg *meshpb.Load) bool {
	loads, services, limits := len(msg.Loaded), len(msg.Service), len(msg.Limited)
	return len(msg.Endpoint) == len(msg.WorkMs) &&
		loads == len(msg.Running) && loads == len(msg.Waiting) && loads == len(msg.LoadAgeMs) &&
		services == len(msg.Requests) && services == len(msg.Repeats) && services == len(msg.Failures) &&
		limits == len(msg.Limit) && limits == len(msg.LimitAgeMs) && limits == len(msg.Sent)
}

package mesh

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
	"github.com/lovageweir/lovageweir/shares"
)

// Publishing of loads.
const (
	// publishInterval is the time between periodic datagrams in a fleet of up to
	// publishToAllLimit entries; largeFleetInterval applies to larger ones. In between, new
	// work that other entries need to know of is published at once. With periodic datagrams
	// only, 195 entries sharing 124 engines knew too little of each other's long prompts and
	// the 90th percentile of the wait at an engine was 305 ms; with both it is 82 ms for as
	// many datagrams (place.TestLargeFleetSpreadsLoad).
	publishInterval    = 250 * time.Millisecond
	largeFleetInterval = time.Second
	// figuresInterval is the least time between datagrams that are sent for a changed figure only
	// (place.Board.SlowdownChanged) and the ones before. A slow period lasts some 600 ms.
	figuresInterval = 250 * time.Millisecond
	// datagramInterval is the average time between datagrams sent by one entry, so that an
	// entry sends and receives no more than some hundred a second; datagramBurst is how many
	// it may send after a pause.
	datagramInterval = 8 * time.Millisecond
	datagramBurst    = 200
	// publishToAllLimit is the largest fleet in which every entry is a recipient. In larger
	// ones it is those of the own failure domain, whose engines an entry mostly uses.
	publishToAllLimit = 16
	// maxRecipients bounds the recipients, a new random selection each time. It is more than
	// two failure domains have at the planned size.
	maxRecipients = 96
	// maxDatagramBytes fits an Ethernet frame.
	maxDatagramBytes = 1400
	// maxEndpoints, maxLoads and maxLimits together fit a datagram.
	maxEndpoints = 70
	maxLoads     = 50
	maxLimits    = 25
	// maxAnswerBytes is the size of an answer beside the name of its model.
	maxAnswerBytes = 16
)

// LoadExchangeDeps are the dependencies of a LoadExchange.
type LoadExchangeDeps struct {
	Instance, Domain string
	Address          string // IP:port, for datagrams
	Fleet            *fleet.Follower
	Board            *place.Board
	Rates            *place.Rates // nil: no estimates are exchanged
	Budget           *retry.Budget
	Shares           *shares.Table // nil: no delays and demands are exchanged
	Limits           *ratelimit.Limits
	Clock            clockwork.Clock
	Log              *slog.Logger
	Scope            tally.Scope // nil: no metrics
}

// LoadExchange publishes this entry's outstanding work by endpoint, the loads that endpoints
// reported to it, its retries, and the requests it sent to endpoints that name a limit; and
// it receives the same from other entries. It uses datagrams, as a lost or late one is
// worthless a moment later.
type LoadExchange struct {
	LoadExchangeDeps
	conn        net.PacketConn
	lastEmpty   bool // the last datagram carried no work, loads or limits
	sendLimiter sendLimiter
	published   time.Time // when the last datagrams were sent, by awaitPublish's goroutine
}

// NewLoadExchange returns a LoadExchange; Run starts it.
func NewLoadExchange(d LoadExchangeDeps) *LoadExchange {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Rates == nil {
		d.Rates = place.NewRates()
	}
	return &LoadExchange{LoadExchangeDeps: d}
}

// Run publishes and receives until ctx ends.
func (l *LoadExchange) Run(ctx context.Context) {
	conn, err := net.ListenPacket("udp", l.Address)
	if err != nil {
		l.Log.Error("mesh: cannot open the datagram socket; loads are not exchanged, and endpoints are chosen by the data of this entry only.", "address", l.Address, "error", err)
		return
	}
	l.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go l.listen()
	go l.publishLimits(ctx)
	for l.awaitPublish(ctx) {
		recipients := l.recipients()
		l.sendLimiter.sent(len(recipients))
		l.published = l.Clock.Now()
		l.publish(recipients)
	}
}

// awaitPublish waits until a datagram is due and the send limiter allows it; it returns
// false once ctx has ended.
func (l *LoadExchange) awaitPublish(ctx context.Context) bool {
	interval := publishInterval
	if len(l.Fleet.View().Entries) > publishToAllLimit {
		interval = largeFleetInterval
	}
	periodic := l.Clock.After(time.Duration(float64(interval) * (0.9 + rand.Float64()/5)))
	changed := l.Board.SlowdownChanged()
	var figuresDue <-chan time.Time
	for due := false; !due; {
		select {
		case <-periodic:
			due = true
		case <-l.Board.WorkGrew():
			due = true
		case <-changed:
			changed, figuresDue = nil, l.Clock.After(figuresInterval-l.Clock.Since(l.published))
		case <-figuresDue:
			// Without datagrams to spare, the figures are sent with the next periodic message.
			figuresDue = nil
			due = l.sendLimiter.spare(l.Clock.Now())
		case <-ctx.Done():
			return false
		}
	}
	wait := l.sendLimiter.wait(l.Clock.Now())
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

// sendLimiter is a token bucket that bounds the datagrams sent; the zero value allows a
// burst. It is not safe for concurrent use.
type sendLimiter struct {
	tokens  float64 // datagrams that may be sent now; negative if overdrawn
	updated time.Time
}

// wait returns how long to wait before sending more.
func (s *sendLimiter) wait(now time.Time) time.Duration {
	s.update(now)
	return time.Duration(max(0, -s.tokens) * float64(datagramInterval))
}

// spare reports whether at least half of a burst is left, so that figures don't delay the announcement of
// long work.
func (s *sendLimiter) spare(now time.Time) bool {
	s.update(now)
	return s.tokens >= datagramBurst/2
}

func (s *sendLimiter) update(now time.Time) {
	s.tokens = min(datagramBurst, s.tokens+float64(now.Sub(s.updated))/float64(datagramInterval))
	s.updated = now
}

// sent takes the tokens for n datagrams that were sent.
func (s *sendLimiter) sent(n int) { s.tokens -= float64(n) }

// recipients returns the addresses to publish to. In a large fleet these are the entries
// that use the same engines: those of the own failure domain and of the domains where this
// entry has long work outstanding. A long prompt sent to the engine that has part of it in
// its cache mostly goes to another domain, whose entries would send to that engine too.
func (l *LoadExchange) recipients() []string {
	entries := l.Fleet.View().Entries
	domains := l.Board.WorkDomains()
	domains[l.Domain] = true
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Instance == l.Instance || e.LoadAddress == "" {
			continue
		}
		if len(entries) <= publishToAllLimit || domains[e.Domain] {
			out = append(out, e.LoadAddress)
		}
	}
	if len(out) > maxRecipients {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxRecipients]
	}
	return out
}

func (l *LoadExchange) publish(recipients []string) {
	raw, empty, err := l.Datagram()
	if err != nil {
		l.Log.Error("mesh: loads cannot be encoded.", "error", err)
		return
	}
	if empty && l.lastEmpty {
		return
	}
	l.lastEmpty = empty
	l.send(raw, recipients)
}

func (l *LoadExchange) send(raw []byte, recipients []string) {
	for _, address := range recipients {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue // the other entry's registration is invalid, which will show at that entry
		}
		_, _ = l.conn.WriteTo(raw, to) // datagrams may be lost anyway
	}
}

// Datagram encodes what this entry publishes now; empty reports that it carries no work, loads, limits, delays or demand.
func (l *LoadExchange) Datagram() (raw []byte, empty bool, err error) {
	msg := &meshpb.Load{Instance: l.Instance, GrantsLimits: true}
	for id, work := range l.Board.Outstanding() {
		if len(msg.Endpoint) == maxEndpoints {
			break
		}
		msg.Endpoint = append(msg.Endpoint, place.ShortID(id))
		msg.WorkMs = append(msg.WorkMs, uint32(work.Milliseconds()))
	}
	reports := l.Board.LoadReports()
	for _, r := range reports {
		if len(msg.Loaded) == maxLoads {
			break
		}
		msg.Loaded = append(msg.Loaded, r.Endpoint)
		msg.Running = append(msg.Running, uint32(r.Running))
		msg.Waiting = append(msg.Waiting, uint32(r.Waiting))
		msg.LoadAgeMs = append(msg.LoadAgeMs, uint32(r.Age.Milliseconds()))
	}
	l.addLimits(msg)
	for _, c := range l.Budget.Counts() {
		msg.Service = append(msg.Service, c.Service)
		msg.Requests = append(msg.Requests, uint32(c.Requests))
		msg.Repeats = append(msg.Repeats, uint32(c.Repeats))
		msg.Failures = append(msg.Failures, uint32(c.Failures))
	}
	addSlowdowns(msg, reports)
	l.addDemands(msg)
	l.addDelays(msg)
	l.addAnswers(msg)
	empty = len(msg.Endpoint)+len(msg.Loaded)+len(msg.Limited)+len(msg.AnsweredModel)+len(msg.DelayService)+len(msg.DemandService) == 0
	raw, err = proto.Marshal(msg)
	return raw, empty, err
}

// addAnswers adds the answers received since the last datagram, as many as fit.
func (l *LoadExchange) addAnswers(msg *meshpb.Load) {
	left := maxDatagramBytes - proto.Size(msg)
	for _, a := range l.Rates.Answers() {
		if left -= len(a.Model) + maxAnswerBytes; left < 0 {
			return
		}
		msg.AnsweredModel = append(msg.AnsweredModel, a.Model)
		msg.AnsweredTokens = append(msg.AnsweredTokens, uint32(a.Tokens))
		msg.AnsweredMs = append(msg.AnsweredMs, uint32(a.Took.Milliseconds()))
	}
}

func (l *LoadExchange) listen() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was sent to a closed port
		}
		l.Receive(buf[:n])
	}
}

// Receive applies a datagram received from another entry.
func (l *LoadExchange) Receive(raw []byte) {
	var msg meshpb.Load
	if err := proto.Unmarshal(raw, &msg); err != nil || !columnsMatch(&msg) {
		l.Log.Debug("mesh: datagram cannot be decoded.", "bytes", len(raw))
		return
	}
	l.receiveLimits(&msg)
	if msg.LimitsOnly {
		return
	}
	work := make(map[uint32]time.Duration, len(msg.Endpoint))
	for i, id := range msg.Endpoint {
		work[id] = time.Duration(msg.WorkMs[i]) * time.Millisecond
	}
	l.Board.ReceiveWork(msg.Instance, work)
	loads := make([]place.LoadReport, 0, len(msg.Loaded))
	for i, id := range msg.Loaded {
		loads = append(loads, place.LoadReport{Endpoint: id, Running: int(msg.Running[i]), Waiting: int(msg.Waiting[i]),
			Age: time.Duration(msg.LoadAgeMs[i]) * time.Millisecond, SlowdownPercent: slowdown(&msg, i)})
	}
	l.Board.ReceiveLoads(loads)
	answers := make([]place.FirstEvent, 0, len(msg.AnsweredModel))
	for i, model := range msg.AnsweredModel {
		answers = append(answers, place.FirstEvent{Model: model, Tokens: int(msg.AnsweredTokens[i]), Took: time.Duration(msg.AnsweredMs[i]) * time.Millisecond})
	}
	l.Rates.ReceiveAnswers(answers)
	counts := make([]retry.ServiceCount, 0, len(msg.Service))
	for i, service := range msg.Service {
		counts = append(counts, retry.ServiceCount{Service: service,
			Count: retry.Count{Requests: float64(msg.Requests[i]), Repeats: float64(msg.Repeats[i]), Failures: float64(msg.Failures[i])}})
	}
	l.Budget.ReceiveCounts(msg.Instance, counts)
	l.receiveShares(&msg)
}

// columnsMatch reports whether the parallel arrays of a datagram have equal lengths.
func columnsMatch(msg *meshpb.Load) bool {
	loads, services, limits, answers := len(msg.Loaded), len(msg.Service), len(msg.Limited), len(msg.AnsweredModel)
	return shareColumnsMatch(msg) && slowdownsMatch(msg) && len(msg.Endpoint) == len(msg.WorkMs) &&
		loads == len(msg.Running) && loads == len(msg.Waiting) && loads == len(msg.LoadAgeMs) &&
		services == len(msg.Requests) && services == len(msg.Repeats) && services == len(msg.Failures) &&
		limits == len(msg.Limit) && limits == len(msg.LimitAgeMs) && limits == len(msg.Sent) &&
		answers == len(msg.AnsweredTokens) && answers == len(msg.AnsweredMs)
}

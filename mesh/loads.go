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
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Telling of loads.
const (
	// tellInterval is the time between datagrams while there are few entries
	// to tell: engines' work changes within a tenth of a second.
	tellInterval = 100 * time.Millisecond
	// tellEach is the least interval for each entry told, so that an entry
	// sends and takes no more than some 60 datagrams a second.
	tellEach = 16 * time.Millisecond
	// tellAll is up to how many entries all are told; beyond, those of the
	// own failure domain, whose engines an entry mostly uses.
	tellAll = 16
	// mostTold bounds the entries told, drawn anew each time.
	mostTold = 24
	// mostDatagram fits an Ethernet frame.
	mostDatagram = 1400
	// mostEndpoints fit a datagram.
	mostEndpoints = 160
)

// LoadsDeps is what the telling of loads needs.
type LoadsDeps struct {
	Instance, Domain string
	Address          string // IP:port, for datagrams
	Fleet            *fleet.Follower
	Board            *place.Board
	Clock            clockwork.Clock
	Log              *slog.Logger
}

// Loads tells other entries what work this one has outstanding at which
// endpoint, and takes what they tell. Datagrams fit: one that is lost or late
// is worth nothing a moment later.
type Loads struct {
	LoadsDeps
	conn  net.PacketConn
	quiet bool // the last datagram told of no work
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
	for {
		others := l.others()
		interval := max(tellInterval, time.Duration(len(others))*tellEach)
		select {
		case <-l.Clock.After(time.Duration(float64(interval) * (0.9 + rand.Float64()/5))):
		case <-ctx.Done():
			return
		}
		l.tell(others)
	}
}

// others are the addresses to tell.
func (l *Loads) others() []string {
	entries := l.Fleet.View().Entries
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Instance == l.Instance || e.Loads == "" {
			continue
		}
		if len(entries) <= tellAll || e.Domain == l.Domain {
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
	raw, empty, err := l.datagram()
	if err != nil {
		l.Log.Error("mesh: loads cannot be encoded.", "error", err)
		return
	}
	if empty && l.quiet {
		return
	}
	l.quiet = empty
	for _, address := range others {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue // another entry's registration is broken; it will show there
		}
		_, _ = l.conn.WriteTo(raw, to) // a datagram may be lost anyway
	}
}

func (l *Loads) datagram() (raw []byte, empty bool, err error) {
	msg := &meshpb.Load{Instance: l.Instance}
	for id, work := range l.Board.Outstanding() {
		if len(msg.Endpoint) == mostEndpoints {
			break
		}
		msg.Endpoint = append(msg.Endpoint, place.ShortID(id))
		msg.WorkMs = append(msg.WorkMs, uint32(work.Milliseconds()))
	}
	raw, err = proto.Marshal(msg)
	return raw, len(msg.Endpoint) == 0, err
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
		l.hear(buf[:n])
	}
}

func (l *Loads) hear(raw []byte) {
	var msg meshpb.Load
	if err := proto.Unmarshal(raw, &msg); err != nil || len(msg.Endpoint) != len(msg.WorkMs) {
		l.Log.Debug("mesh: datagram is no load.", "bytes", len(raw))
		return
	}
	work := make(map[uint32]time.Duration, len(msg.Endpoint))
	for i, id := range msg.Endpoint {
		work[id] = time.Duration(msg.WorkMs[i]) * time.Millisecond
	}
	l.Board.Hear(msg.Instance, work)
}

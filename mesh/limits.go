package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// maxOwnerConns bounds the idle connections kept to one owner of limits.
const maxOwnerConns = 2

// LimitOwners asks other entries as owners of limits. It is safe for concurrent use.
type LimitOwners struct{ http *http.Client }

var _ ratelimit.Owners = LimitOwners{}

// NewLimitOwners returns a client with a connection pool of its own, so that questions do not wait
// behind exchanges.
func NewLimitOwners() LimitOwners {
	return LimitOwners{newClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxOwnerConns,
		IdleConnTimeout:     15 * time.Second,
		DisableCompression:  true,
	}, maxOwnerBytes)}
}

// TakeLimit implements ratelimit.Owners.
func (o LimitOwners) TakeLimit(ctx context.Context, owner fleet.Entry, ask ratelimit.Ask) (ratelimit.Verdict, error) {
	got, err := meshpb.NewMeshProtobufClient("http://"+owner.Address, o.http).TakeLimit(ctx, ask.Message())
	if err != nil {
		return ratelimit.Verdict{}, trace.Wrap(err, "owner %s at %s", owner.Instance, owner.Address)
	}
	return ratelimit.VerdictOf(got), nil
}

// TakeLimit implements meshpb.Mesh.
func (m *Mesh) TakeLimit(_ context.Context, in *sharedpb.TakeLimitRequest) (*sharedpb.TakeLimitResponse, error) {
	return m.Limits.Grant(ratelimit.AskOf(in)).Message(), nil
}

var _ concurrency.Owners = LimitOwners{}

// TakePermit implements concurrency.Owners.
func (o LimitOwners) TakePermit(ctx context.Context, owner fleet.Entry, ask concurrency.Ask) (concurrency.Verdict, error) {
	got, err := meshpb.NewMeshProtobufClient("http://"+owner.Address, o.http).TakePermit(ctx, ask.Message())
	if err != nil {
		return concurrency.Verdict{}, trace.Wrap(err, "owner %s at %s", owner.Instance, owner.Address)
	}
	return concurrency.VerdictOf(got), nil
}

// TakePermit implements meshpb.Mesh.
func (m *Mesh) TakePermit(_ context.Context, in *meshpb.TakePermitRequest) (*meshpb.TakePermitResponse, error) {
	return m.Concurrency.Grant(concurrency.AskOf(in)).Message(), nil
}

// publishLimits sends the limits, after each request to an endpoint that names one, to the entries
// that count such requests by reports, until ctx ends. It bypasses the send limiter: load
// datagrams are paced, and those entries would use up the limit meanwhile. The limit itself keeps
// such requests few.
func (l *LoadExchange) publishLimits(ctx context.Context) {
	for {
		select {
		case <-l.Limits.Sent():
		case <-ctx.Done():
			return
		}
		raw, err := l.LimitsDatagram()
		if err != nil {
			l.Log.Error("mesh: limits cannot be encoded.", "error", err)
			continue
		}
		l.send(raw, l.limitRecipients())
	}
}

// LimitsDatagram encodes this entry's limits only.
func (l *LoadExchange) LimitsDatagram() ([]byte, error) {
	msg := &meshpb.Load{Instance: l.Instance, LimitsOnly: true, GrantsLimits: true}
	l.addLimits(msg)
	return proto.Marshal(msg)
}

// limitRecipients returns the addresses of the entries that may use the same limited endpoints and
// count requests by reports.
func (l *LoadExchange) limitRecipients() []string {
	entries := l.Fleet.View().Entries
	var out []string
	for _, e := range entries {
		if e.Instance != l.Instance && e.LoadAddress != "" && l.Limits.CountedByReport(e.Instance) && ratelimit.MayUse(len(entries), l.Domain, e.Domain) {
			out = append(out, e.LoadAddress)
		}
	}
	return out
}

// addLimits adds as many limits as fit a datagram, a new random selection each time if there are more.
func (l *LoadExchange) addLimits(msg *meshpb.Load) {
	limits := l.Limits.Reports()
	if len(limits) > maxLimits {
		rand.Shuffle(len(limits), func(i, j int) { limits[i], limits[j] = limits[j], limits[i] })
		l.Scope.Counter("limits_left_out").Inc(int64(len(limits) - maxLimits))
		limits = limits[:maxLimits]
	}
	for _, r := range limits {
		msg.Limited = append(msg.Limited, r.Endpoint)
		msg.Limit = append(msg.Limit, ratelimit.Thousandths(r.Limit))
		msg.LimitAgeMs = append(msg.LimitAgeMs, uint32(r.Age.Milliseconds()))
		msg.Sent = append(msg.Sent, r.Sent)
	}
}

func (l *LoadExchange) receiveLimits(msg *meshpb.Load) {
	limits := make([]ratelimit.Report, 0, len(msg.Limited))
	for i, id := range msg.Limited {
		limits = append(limits, ratelimit.Report{Endpoint: id, Limit: ratelimit.OfThousandths(msg.Limit[i]),
			Age: time.Duration(msg.LimitAgeMs[i]) * time.Millisecond, Sent: msg.Sent[i]})
	}
	l.Limits.ReceiveReports(msg.Instance, limits, msg.GrantsLimits)
}

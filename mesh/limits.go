package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// publishLimits sends the limits to the entries that use the same endpoints after each
// request to an endpoint that names a limit, until ctx ends. It bypasses the send limiter:
// load datagrams are paced, and other entries would use up the limit meanwhile. The limit
// itself keeps such requests few.
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
	msg := &meshpb.Load{Instance: l.Instance, LimitsOnly: true}
	l.addLimits(msg)
	return proto.Marshal(msg)
}

// limitRecipients returns the addresses of the entries that may use the same limited endpoints.
func (l *LoadExchange) limitRecipients() []string {
	entries := l.Fleet.View().Entries
	var out []string
	for _, e := range entries {
		if e.Instance != l.Instance && e.LoadAddress != "" && ratelimit.MayUse(len(entries), l.Domain, e.Domain) {
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
	l.Limits.ReceiveReports(msg.Instance, limits)
}

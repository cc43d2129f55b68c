package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// runLimits tells the entries that use the same endpoints of each request sent to one that
// names a limit, until ctx ends. It does not wait for its turn among the tellings of loads:
// these are paced, and others would take the same room meanwhile. Requests to endpoints that
// name a limit are few, by the limit.
func (l *Loads) runLimits(ctx context.Context) {
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
		l.send(raw, l.sharing())
	}
}

// LimitsDatagram is what this entry tells of limits alone.
func (l *Loads) LimitsDatagram() ([]byte, error) {
	msg := &meshpb.Load{Instance: l.Instance, LimitsOnly: true}
	l.addLimits(msg)
	return proto.Marshal(msg)
}

// sharing are the addresses of the entries that may use the same limited endpoints.
func (l *Loads) sharing() []string {
	entries := l.Fleet.View().Entries
	var out []string
	for _, e := range entries {
		if e.Instance != l.Instance && e.Loads != "" && ratelimit.Share(len(entries), l.Domain, e.Domain) {
			out = append(out, e.Loads)
		}
	}
	return out
}

// addLimits adds the limits that fit a datagram, drawn anew each time if there are more.
func (l *Loads) addLimits(msg *meshpb.Load) {
	told := l.Limits.Tell()
	if len(told) > mostLimits {
		rand.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
		told = told[:mostLimits]
	}
	for _, t := range told {
		msg.Limited = append(msg.Limited, t.Endpoint)
		msg.Limit = append(msg.Limit, ratelimit.Thousandths(t.Limit))
		msg.LimitAgeMs = append(msg.LimitAgeMs, uint32(t.Age.Milliseconds()))
		msg.Sent = append(msg.Sent, t.Sent)
	}
}

func (l *Loads) hearLimits(msg *meshpb.Load) {
	limits := make([]ratelimit.Told, 0, len(msg.Limited))
	for i, id := range msg.Limited {
		limits = append(limits, ratelimit.Told{Endpoint: id, Limit: ratelimit.OfThousandths(msg.Limit[i]),
			Age: time.Duration(msg.LimitAgeMs[i]) * time.Millisecond, Sent: msg.Sent[i]})
	}
	l.Limits.Hear(msg.Instance, limits)
}

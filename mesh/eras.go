package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// What entries tell each other of the store's eras.
const (
	// eraFanout is how many peers are told at once that the store is in a new era. Those that are
	// behind ask for its state and tell others in turn.
	eraFanout = 4
	// catchUpInterval is the mean time between two requests of an entry that was told of a new era,
	// catchUpTries how many it makes before it goes on as usual: a peer may send a snapshot to others
	// first.
	catchUpInterval = 40 * time.Millisecond
	catchUpTries    = 12
	// carriedWait is how long an entry that starts waits for peers to tell what the store lost, before
	// its configuration is in force.
	carriedWait = 200 * time.Millisecond
)

// announcement is what a peer told of the store's era.
type announcement struct {
	address string
	era     kv.Era
}

// eraOf returns the era of the revisions in a message. An entry of a build that does not tell it is
// taken to be in the same one; changes from it are ignored (decodeChanges).
func (m *Mesh) eraOf(in *meshpb.ExchangeMessage) kv.Era {
	if in.EraPlusOne == 0 {
		return m.Fleet.Revision().Era()
	}
	return kv.Era(in.EraPlusOne - 1)
}

// changesEra returns the era of a message's changes. Those of an entry that does not tell it are of
// the first: they count only where the store does not tell it either.
func changesEra(got *meshpb.ExchangeMessage) kv.Era { return kv.Era(max(0, got.EraPlusOne-1)) }

// setRevision sets the revision that a response leads to. If the era has risen since the response was
// begun, what it says of roll-outs is of the era before.
func setRevision(out *meshpb.ExchangeMessage, revision kv.Revision) {
	if era := int64(revision.Era()) + 1; era != out.EraPlusOne {
		out.EraPlusOne, out.Orders, out.Evidence = era, nil, nil
	}
	out.Revision = revision.Number()
}

// catchUp asks peers that are in a later era for its state.
func (m *Mesh) catchUp(ctx context.Context, a announcement) {
	for range catchUpTries {
		if m.Fleet.Revision().Era() >= a.era {
			return
		}
		m.ExchangeWith(ctx, a.address)
		if m.Fleet.Revision().Era() >= a.era {
			return
		}
		select {
		case <-m.Clock.After(time.Duration(float64(catchUpInterval) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
			return
		}
		select {
		case a = <-m.announced: // another one may have more to spare
		default:
		}
	}
}

// releaseConfig asks peers what the store lost, once this entry has a configuration that waits for that.
func (m *Mesh) releaseConfig(ctx context.Context) {
	select {
	case <-m.Fleet.ConfigHeld():
	case <-ctx.Done():
		return
	}
	told := make(chan struct{})
	go func() {
		defer close(told)
		m.exchangeWithPeers(ctx, eraFanout, m.pickListener)
	}()
	select {
	case <-told:
	case <-m.Clock.After(carriedWait):
	}
	m.Fleet.ReleaseConfig()
	<-told
}

// noteEra notes the era of a message that a peer sent by itself.
func (m *Mesh) noteEra(in *meshpb.ExchangeMessage) {
	era := m.eraOf(in)
	if own := m.Fleet.Revision(); own == 0 || era <= own.Era() {
		return
	}
	for _, e := range m.Fleet.View().Entries {
		if e.Instance != in.Instance {
			continue
		}
		select {
		case m.announced <- announcement{e.Address, era}:
		default: // there are enough to ask
		}
		return
	}
}

// addCarried adds what the store lost, if the response is of the era in which that is known.
func (m *Mesh) addCarried(out *meshpb.ExchangeMessage) {
	for _, c := range m.Fleet.Carried() {
		if c.Stored != 0 && c.Stored.Era() != changesEra(out) {
			continue
		}
		out.Carried = append(out.Carried, &meshpb.Carried{Key: c.Key, Value: c.Value, Removed: c.Removed, Stored: c.Stored.Number()})
	}
}

// mergeCarried adopts what a peer told that the store lost.
func (m *Mesh) mergeCarried(got *meshpb.ExchangeMessage) {
	era := changesEra(got)
	all := make([]fleet.Carried, 0, len(got.Carried))
	for _, c := range got.Carried {
		all = append(all, fleet.Carried{Key: c.Key, Value: c.Value, Removed: c.Removed, Stored: kv.RevisionIn(era, c.Stored)})
	}
	m.Fleet.AddCarried(got.Instance, era, all)
}

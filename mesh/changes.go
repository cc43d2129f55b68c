package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

const (
	// minPackedBytes is the size from which changes are sent compressed, to a fifth of it: most
	// are registrations that are much alike, or a configuration.
	minPackedBytes = 4 << 10
	// packedKept is how many compressed messages are kept: entries that are behind mostly lack
	// the same changes.
	packedKept = 4
	// snapshotReuse is how long a compressed snapshot is sent again while the data changes;
	// its receivers get the rest with their next exchange.
	snapshotReuse = time.Second
	// maxUnpackedBytes bounds what a peer's changes may take up uncompressed.
	maxUnpackedBytes = maxMessageBytes
)

// packer compresses changes for other entries. Its lock is not held together with another.
type packer struct {
	mu   sync.Mutex
	kept []packed // latest last
	size int      // of the last snapshot, as sent
}

// packed are the compressed changes from one revision to another; after 0, they are a snapshot.
type packed struct {
	after, revision kv.Revision
	at              time.Time
	raw             []byte
}

// addChanges adds the changes after a revision to a response.
func (m *Mesh) addChanges(out *meshpb.ExchangeMessage, after kv.Revision, unpacks bool) error {
	whole := m.Fleet.NeedsSnapshot(after)
	if whole {
		after = 0
	}
	if unpacks {
		revision, now := m.Fleet.Revision(), m.Clock.Now()
		if p, ok := m.packer.find(after, revision, now); ok {
			setRevision(out, p.revision)
			out.Whole, out.PackedChanges = whole, p.raw
			if p.revision != revision && out.ConfirmedMs >= 0 {
				out.ConfirmedMs += now.Sub(p.at).Milliseconds() // what changed since is not in it
			}
			return nil
		}
	}
	c := m.Fleet.Since(after)
	setRevision(out, c.Revision)
	out.Whole = c.Whole
	out.Changes = encodeChanges(c.Events)
	size := sizeOf(c.Events)
	if !unpacks || size < minPackedBytes {
		if c.Whole {
			m.packer.setSnapshotSize(size)
		}
		return nil
	}
	raw, err := pack(out.Changes)
	if err != nil {
		return err
	}
	out.Changes, out.PackedChanges = nil, raw
	m.packer.keep(packed{after: after, revision: c.Revision, at: m.Clock.Now(), raw: raw})
	return nil
}

// find returns kept changes that lead from one revision to another, or a recent snapshot.
func (k *packer) find(after, revision kv.Revision, now time.Time) (packed, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.kept {
		if p.after == after && (p.revision == revision || after == 0 && p.revision.Era() == revision.Era() && now.Sub(p.at) < snapshotReuse) {
			return p, true
		}
	}
	return packed{}, false
}

// setSnapshotSize records the size of a snapshot that was sent uncompressed.
func (k *packer) setSnapshotSize(size int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.size = max(1, size)
}

// snapshotSize returns the size of the last snapshot in bytes; 0: there is none.
func (k *packer) snapshotSize() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.size
}

func (k *packer) keep(p packed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.after == 0 {
		k.size = len(p.raw)
	}
	k.kept = append(k.kept, p)
	if len(k.kept) > packedKept {
		k.kept = slices.Delete(k.kept, 0, 1)
	}
}

func sizeOf(events []kv.Event) int {
	size := 0
	for _, e := range events {
		size += len(e.KV.Key) + len(e.KV.Value)
	}
	return size
}

func encodeChanges(events []kv.Event) []*meshpb.Change {
	out := make([]*meshpb.Change, 0, len(events))
	for _, e := range events {
		out = append(out, &meshpb.Change{Key: e.KV.Key, Value: e.KV.Value, Revision: e.KV.ModRevision.Number(),
			Created: e.KV.CreateRevision.Number(), Lease: int64(e.KV.Lease), Deleted: e.Type == kv.EventDelete})
	}
	return out
}

// unpackChanges replaces the compressed changes of a response. A snapshot is kept as it is, for the
// next entry that starts.
func (m *Mesh) unpackChanges(got *meshpb.ExchangeMessage) error {
	if len(got.PackedChanges) == 0 {
		return nil
	}
	raw := got.PackedChanges
	changes, err := unpack(raw)
	got.Changes, got.PackedChanges = changes, nil
	if err == nil && got.Whole {
		age := time.Duration(max(0, got.ConfirmedMs)) * time.Millisecond
		m.packer.keep(packed{revision: kv.RevisionIn(changesEra(got), got.Revision), at: m.Clock.Now().Add(-age), raw: raw})
	}
	return err
}

func decodeChanges(got *meshpb.ExchangeMessage) fleet.Changes {
	era := changesEra(got)
	c := fleet.Changes{Revision: kv.RevisionIn(era, got.Revision), Whole: got.Whole, Events: make([]kv.Event, 0, len(got.Changes))}
	for _, ch := range got.Changes {
		e := kv.Event{Type: kv.EventPut, KV: kv.KeyValue{Key: ch.Key, Value: ch.Value, ModRevision: kv.RevisionIn(era, ch.Revision),
			CreateRevision: kv.RevisionIn(era, ch.Created), Lease: kv.LeaseID(ch.Lease)}}
		if ch.Deleted {
			e.Type = kv.EventDelete
		}
		c.Events = append(c.Events, e)
	}
	return c
}

func pack(changes []*meshpb.Change) ([]byte, error) {
	raw, err := proto.Marshal(&meshpb.Changes{Changes: changes})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

func unpack(packed []byte) ([]*meshpb.Change, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errUnpackedTooLarge
	}
	var out meshpb.Changes
	err = proto.Unmarshal(raw, &out)
	return out.Changes, err
}

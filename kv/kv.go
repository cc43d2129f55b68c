package kv

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// Revision is the store's logical clock: it increases by one with every write, and never decreases.
// It orders states of the store across its eras: the era is in the upper bits, and the number that
// the store gave out in that era, which it may give out again in the next, is in the lower ones.
// Zero means "no revision" (an absent key).
type Revision int64

// revisionNumberBits leaves 23 bits for the era.
const revisionNumberBits = 40

// RevisionIn returns the revision with a number that the store gave out in an era.
func RevisionIn(era Era, number int64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(int64(era)<<revisionNumberBits | number)
}

// Era returns the era that a revision belongs to.
func (r Revision) Era() Era { return Era(r >> revisionNumberBits) }

// Number returns the revision as the store gives it out.
func (r Revision) Number() int64 { return int64(r & (1<<revisionNumberBits - 1)) }

// LogValue implements slog.LogValuer. It leaves out the era, which rarely changes.
func (r Revision) LogValue() slog.Value { return slog.Int64Value(r.Number()) }

// Era numbers the histories of a store. It rises when the store comes back from a copy and has lost
// what was written after the copy: from then on it gives out the same revisions for other changes.
// Zero means that the store does not tell.
type Era int64

// LeaseID identifies a lease granted by the store. Zero means "no lease".
type LeaseID int64

// KeyValue is one stored key with the revisions of its creation and of its last
// change.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Version        int64
	Lease          LeaseID
}

// EventType says whether a watched key was written or removed.
type EventType int

// Event types, as in the etcd v3 API.
const (
	EventPut EventType = iota
	EventDelete
)

// Event is one change seen by a watch.
type Event struct {
	Type EventType
	KV   KeyValue
}

// Errors returned by implementations. ErrUnavailable means the outcome of a
// write is unknown: the store may have applied it and the response was lost.
var (
	ErrUnavailable   = errors.New("kv: service unavailable")
	ErrLeaseNotFound = errors.New("kv: lease not found or expired")
	// ErrCompacted means that the history a watch requested has been
	// compacted; read, then watch from the revision of the read.
	ErrCompacted = errors.New("kv: watch history is compacted")
	// ErrNewEra means that the revision that a watch requested is of an earlier era; read, then watch
	// from the revision of the read.
	ErrNewEra = errors.New("kv: store came back from a copy, and its history is another one")
)

// KV reads and writes keys.
type KV interface {
	// Get returns the key (or, with prefix, every key under it) and the
	// store's revision at the time of the read.
	Get(ctx context.Context, key string, prefix bool) (Revision, []KeyValue, error)
	// List is Get with prefix but without the values: an inexpensive way to see
	// which keys changed.
	List(ctx context.Context, prefix string) (Revision, []KeyValue, error)
	// Put writes unconditionally and returns the new revision.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) (Revision, error)
	// CompareAndPut writes only if the key's ModRevision equals expect (0:
	// key absent). On a failed compare it returns ok=false and the current
	// value, if any.
	CompareAndPut(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (ok bool, rev Revision, cur *KeyValue, err error)
	// CompareAndDelete removes the key only if its ModRevision equals
	// expect, so a repeated delete can never remove someone else's key.
	CompareAndDelete(ctx context.Context, key string, expect Revision) (ok bool, err error)
	// Delete removes the key, or every key under it with prefix.
	Delete(ctx context.Context, key string, prefix bool) (Revision, error)
}

// Lease grants, renews and revokes leases. Keys written with a lease are deleted
// when it expires or is revoked.
type Lease interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id LeaseID) error
}

// Watcher waits for changes. WatchOnce returns as soon as events newer than
// after exist, or with no events (and after unchanged) once wait has passed;
// callers loop. Each WatchOnce is one call to the service.
type Watcher interface {
	WatchOnce(ctx context.Context, key string, prefix bool, after Revision, wait time.Duration) (Revision, []Event, error)
}

// Pager reads the keys of a large store page by page, at less cost than Get.
type Pager interface {
	// GetPage returns the keys with a prefix that sort after another key, as many as fit a
	// page, and whether there are more; rev is the revision that they show. If mayBeStale is
	// set they may be seconds old, and after the store came back from a copy show the era
	// before, which their revisions do not tell.
	GetPage(ctx context.Context, prefix, after string, mayBeStale bool) (rev Revision, page []KeyValue, more bool, err error)
}

// EraReader tells the store's era as of its latest answer to this client.
type EraReader interface{ Era() Era }

// Client is the complete interface that lovageweir uses.
type Client interface {
	KV
	Lease
	Watcher
}

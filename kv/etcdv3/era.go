package etcdv3

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3/api"
)

// A service that was restored from a snapshot is a new cluster with another id, and unless it was told
// to bump them, it gives out revisions again. Ids have no order; the era that goes with one is recorded
// in the service by the first client that finds the record missing or of another id, one above that
// in the record and any that the client has known.

// EraKey holds the record. It is among the keys that entries watch, so that a client learns of a
// change by another one.
const EraKey = "/lovageweir/live/era"

// eraAttempts bounds the attempts to write the record while other clients write it too.
const eraAttempts = 5

// eraRecord is the value of EraKey.
type eraRecord struct {
	ClusterID uint64 `json:"cluster_id,string"`
	Era       kv.Era `json:"era"`
}

// eras is what a client knows of the service's eras.
type eras struct {
	resolving sync.Mutex // held during the calls that find out the era

	mu        sync.Mutex // guards the fields below; never held across a call
	clusterID uint64     // whose era is known; 0: none
	era       kv.Era
	// lastClusterID is the one that era is of.
	lastClusterID uint64
	recordRev     int64 // revision of the record that tells the era; 0: there is none
}

// known returns the era of a cluster; ok is false if it is not known.
func (e *eras) known(clusterID uint64) (era kv.Era, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era, clusterID != 0 && clusterID == e.clusterID
}

func (e *eras) set(clusterID uint64, era kv.Era, recordRev int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clusterID, e.lastClusterID, e.era, e.recordRev = clusterID, clusterID, era, recordRev
}

// noteRecord forgets the cluster's era if the record has another revision than the one that told it.
func (e *eras) noteRecord(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clusterID != 0 && revision != e.recordRev {
		e.clusterID = 0
	}
}

// Era implements kv.EraReader.
func (c *Client) Era() kv.Era {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.era
}

// eraOf returns the era of a response, by its header.
func (c *Client) eraOf(ctx context.Context, h api.Header) (kv.Era, error) {
	if era, ok := c.eras.known(h.ClusterID); ok || h.ClusterID == 0 { // 0: it is not told
		return era, nil
	}
	c.eras.resolving.Lock()
	defer c.eras.resolving.Unlock()
	for range eraAttempts {
		if era, ok := c.eras.known(h.ClusterID); ok {
			return era, nil
		}
		if err := c.resolveEra(ctx, h.ClusterID); err != nil {
			return 0, err
		}
	}
	return 0, trace.Wrap(kv.ErrUnavailable, "the era of cluster %x is not settled", h.ClusterID)
}

// resolveEra reads the record, and writes it if it does not tell the era of the cluster, or one that
// is no later than that of another cluster.
func (c *Client) resolveEra(ctx context.Context, clusterID uint64) error {
	var got api.RangeResponse
	if err := c.call(ctx, api.PathRange, api.RangeRequest{Key: []byte(EraKey)}, &got); err != nil {
		return err
	}
	if got.Header.ClusterID != clusterID {
		return trace.Wrap(kv.ErrUnavailable, "the service answered as another cluster meanwhile")
	}
	var record eraRecord
	var rev int64
	if len(got.Kvs) > 0 {
		rev = got.Kvs[0].ModRevision
		if err := json.Unmarshal(got.Kvs[0].Value, &record); err != nil {
			return trace.Wrap(err, "%s cannot be decoded", EraKey)
		}
	}
	before, beforeEra := c.eras.last()
	switch {
	case rev == 0 && before == 0: // the first cluster, or nobody has seen another one yet
		c.eras.set(clusterID, 0, 0)
		return nil
	case rev != 0 && record.ClusterID == clusterID && (before == clusterID || before == 0 || record.Era > beforeEra):
		c.eras.set(clusterID, max(record.Era, beforeEra), rev)
		return nil
	}
	next := eraRecord{ClusterID: clusterID, Era: max(record.Era, beforeEra) + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	var written api.TxnResponse
	err = c.call(ctx, api.PathTxn, api.TxnRequest{Compare: []api.Compare{{Result: api.ResultEqual, Target: api.TargetMod, Key: []byte(EraKey), ModRevision: rev}},
		Success: []api.RequestOp{{Put: &api.PutRequest{Key: []byte(EraKey), Value: value}}}}, &written)
	if err != nil {
		return err
	}
	if written.Succeeded && written.Header.ClusterID == clusterID {
		c.eras.set(clusterID, next.Era, written.Header.Revision)
	}
	return nil // otherwise another client wrote it: read it again
}

// last returns the cluster whose era was known last; 0: none was.
func (e *eras) last() (clusterID uint64, era kv.Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastClusterID, e.era
}

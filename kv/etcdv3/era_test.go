package etcdv3_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/standin/kvserver"
)

func newServer(t *testing.T) (*kvserver.Server, string) {
	t.Helper()
	s := kvserver.New(clockwork.NewRealClock())
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, srv.URL
}

// Guards against clients that take revisions of a restored cluster for earlier ones, and that order eras differently.
func TestClientsAgreeOnTheErasOfRestoredClusters(t *testing.T) {
	is := is.New(t)
	server, url := newServer(t)
	a, b := etcdv3.New(url, nil), etcdv3.New(url, nil)
	put := func(c *etcdv3.Client, key string) kv.Revision {
		t.Helper()
		rev, err := c.Put(t.Context(), key, []byte("x"), 0)
		is.NoErr(err)
		return rev
	}
	put(a, "k")
	backup := server.Store().Backup()
	last := put(b, "k")
	is.Equal(last.Era(), kv.Era(0))
	for range 3 {
		server.Store().Restore(backup)
		ra, rb := put(a, "k"), put(b, "k")
		is.True(ra > last && rb > ra)
		started := etcdv3.New(url, nil)
		rc := put(started, "k")
		is.True(rc > rb)
		is.Equal(rc.Era(), ra.Era())
		last = rc
	}
	// Two restores, of which one client sees the last only.
	server.Store().Restore(backup)
	rb := put(b, "k")
	server.Store().Restore(backup)
	ra := put(a, "k")
	is.True(ra > last)
	_, _, err := a.Get(t.Context(), "/lovageweir/live/", true)
	is.NoErr(err)
	later := put(b, "k")
	is.True(later > rb)
	_, _, err = a.Get(t.Context(), "/lovageweir/live/", true) // the other one has raised the era
	is.NoErr(err)
	is.Equal(put(a, "k").Era(), later.Era())
}

// Guards against a watch that waits for a revision that the restored cluster has not reached, and a condition that holds by chance.
func TestAWatchAndAConditionOfAnEarlierClusterFail(t *testing.T) {
	is := is.New(t)
	server, url := newServer(t)
	c := etcdv3.New(url, nil)
	_, err := c.Put(t.Context(), "k", nil, 0)
	is.NoErr(err)
	backup := server.Store().Backup()
	last, err := c.Put(t.Context(), "k", nil, 0)
	is.NoErr(err)
	server.Store().Restore(backup)
	_, err = server.Store().Put(t.Context(), "k", []byte("other"), 0) // the same revision again
	is.NoErr(err)
	began := time.Now()
	_, _, err = c.WatchOnce(t.Context(), "k", false, last, 5*time.Second)
	is.True(errors.Is(err, kv.ErrNewEra))
	is.True(time.Since(began) < time.Second)
	ok, _, cur, err := c.CompareAndPut(t.Context(), "k", last, nil, 0)
	is.NoErr(err)
	is.True(!ok)
	is.Equal(string(cur.Value), "other")
}

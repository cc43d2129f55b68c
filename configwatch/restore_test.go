package configwatch_test

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/configwatch"
	"github.com/lovageweir/lovageweir/internal/synth"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/standin/kvserver"
)

// applyAs writes a configuration of as many models as its number.
func applyAs(t *testing.T, c kv.KV, number int) {
	t.Helper()
	env := config.Envelope{ApplyID: string(rune('a' + number)), Document: *synth.Document(synth.Size{Customers: 1, Models: number, VersionsPerModel: 1, Backends: number, Domains: 1})}
	value, err := env.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(context.Background(), config.Key, value, 0); err != nil {
		t.Fatal(err)
	}
}

// storedApplyID returns the apply id of the KV's configuration; "": there is none.
func storedApplyID(t *testing.T, c kv.KV) string {
	t.Helper()
	_, kvs, err := c.Get(context.Background(), config.Key, false)
	if err != nil || len(kvs) == 0 {
		return ""
	}
	env, err := config.Unmarshal(kvs[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return env.ApplyID
}

// Guards against a configuration that goes back with a restored KV, and against one applied after the restore that is not in force.
func TestAConfigurationOutlivesARestoreOfTheKV(t *testing.T) {
	is := is.New(t)
	server := kvserver.New(clockwork.NewRealClock())
	srv := httptest.NewServer(server.Handler())
	defer srv.Close()
	operator := etcdv3.New(srv.URL, nil)
	var watchers []*configwatch.Watcher
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	applyAs(t, operator, 1)
	for range 3 {
		w := configwatch.New(etcdv3.New(srv.URL, nil), clockwork.NewRealClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		watchers = append(watchers, w)
		go func() { w.Run(ctx); done <- struct{}{} }()
	}
	defer func() {
		cancel()
		for range watchers {
			<-done
		}
	}()
	await := func(models int, within time.Duration) {
		t.Helper()
		for _, w := range watchers {
			for began := time.Now(); w.Table() == nil || len(w.Table().Document().Models) != models; time.Sleep(5 * time.Millisecond) {
				if time.Since(began) > within {
					t.Fatalf("the configuration is not in force after %v", within)
				}
			}
		}
	}
	await(1, 5*time.Second)
	backup := server.Store().Backup()
	for i := 2; i <= 5; i++ {
		applyAs(t, operator, i)
	}
	await(5, 5*time.Second)
	server.Store().Restore(backup)
	for began := time.Now(); storedApplyID(t, operator) != string(rune('a'+5)); time.Sleep(10 * time.Millisecond) {
		await(5, 0)
		if time.Since(began) > 8*time.Second { // a watch that hears nothing ends after five seconds
			t.Fatal("the configuration was not written again")
		}
	}
	await(5, 0)
	applyAs(t, operator, 2)
	await(2, 2*time.Second)
	is.True(watchers[0].Revision().Era() > 0)
}

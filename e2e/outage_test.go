package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestKVOutageKeepsServing: symptom: callers refused while the platform's
// KV service is down, though nothing changed. Sequence: configuration is
// applied, then the KV goes down (every call refused), callers keep
// asking. Cause, in an entry that needs the KV per request or drops its
// configuration on a failed watch: refusals for the whole outage. Here the
// data path makes no KV call and the last accepted configuration stays in
// force.
func TestKVOutageKeepsServing(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	req, _ := http.NewRequest(http.MethodPut, c.kvURL+"/fault", strings.NewReader(`{"down":true}`))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	for i := 0; i < 5; i++ {
		r := chat(t, c.entryURL, "ka", "m", false, 3)
		is.Equal(r.StatusCode, http.StatusOK)
		r.Body.Close()
	}
	r := chat(t, c.entryURL, "kn", "m", false, 3) // the allow list still holds
	is.Equal(r.StatusCode, http.StatusForbidden)
	r.Body.Close()
}

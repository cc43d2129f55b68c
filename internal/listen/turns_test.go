package listen

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against large answers that are built for many requests at a time.
func TestRequestsInTurnAreServedOneAtATime(t *testing.T) {
	is := is.New(t)
	var now, most, served atomic.Int64
	h := InTurn(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		most.Store(max(most.Load(), now.Add(1)))
		time.Sleep(time.Millisecond)
		served.Add(1)
		now.Add(-1)
	}))
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)) })
	}
	wg.Wait()
	is.Equal(most.Load(), int64(1))
	is.Equal(served.Load(), int64(20))
}

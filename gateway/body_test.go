package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/route"
)

func TestValuesOfABodyAreCounted(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]int{`{}`: 1, `{"a":1,"b":[1,2]}`: 4, `{"a":"x,y{[\","}`: 1, `[{},{},{}]`: 6, `"`: 0} {
		is.Equal(countValues([]byte(text)), want)
	}
}

// bodyServer answers 200 once a body was read and decoded.
func bodyServer(memory *membudget.Budget) http.Handler {
	g := New(Deps{BodyMemory: memory, Clock: clockwork.NewRealClock(), Scope: tally.NoopScope})
	r := gin.New()
	r.POST("/", g.admit(func(c *gin.Context) *route.Refusal {
		body, ref := g.readBody(c)
		if ref == nil {
			ref = reserveDecoded(c, body)
		}
		return ref
	}))
	return r
}

// Guards against bodies that fill the memory, refusals that break their promise, and memory that is never released.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	memory := membudget.New(1 << 20)
	h := bodyServer(memory)
	post := func(body string, known bool) *httptest.ResponseRecorder {
		var in io.Reader = strings.NewReader(body)
		if !known {
			in = io.MultiReader(in) // of unknown length
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", in))
		is.Equal(memory.Used(), int64(0))
		return w
	}
	for _, known := range []bool{true, false} {
		is.Equal(post(strings.Repeat("x", 400<<10), known).Code, http.StatusOK)
		w := post(strings.Repeat("x", 600<<10), known)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(post(`{"a":1}`, known).Code, http.StatusOK)
		is.Equal(post("["+strings.Repeat("0,", 3000)+"0]", known).Code, http.StatusRequestEntityTooLarge) // at any time
	}
	is.Equal(post(strings.Repeat("x", maxRequestBody+1), true).Code, http.StatusRequestEntityTooLarge)
}

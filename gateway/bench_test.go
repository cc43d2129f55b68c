package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/route"
)

// sseBody renders n chunks of request rid in the form an engine streams them.
func sseBody(rid string, n int) []byte {
	var buf bytes.Buffer
	for i := 0; i < n; i++ {
		fmt.Fprintf(&buf, `data: {"id":%q,"object":"chat.completion.chunk","model":"m@v1","choices":[{"index":0,"delta":{"content":"%s-%d "},"finish_reason":null}]}`+"\n\n", rid, rid, i)
	}
	buf.WriteString("data: [DONE]\n\n")
	return buf.Bytes()
}

// BenchmarkRelayPerToken is the entry's CPU per streamed token: reading the
// engine's event, checking that it belongs to this request, writing and flushing it.
func BenchmarkRelayPerToken(b *testing.B) {
	gin.SetMode(gin.ReleaseMode)
	g := New(testDeps(&config.Document{}, clockwork.NewRealClock()))
	const tokens = 256
	body := sseBody("rid-1", tokens)
	b.ReportAllocs()
	b.SetBytes(int64(len(body) / tokens))
	for i := 0; i < b.N; i += tokens {
		w := httptest.NewRecorder()
		c, _ := gin.CreateTestContext(w)
		q := &request{c: c, rid: "rid-1", stream: true}
		out := g.newOutput(q, &route.Decision{})
		resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}
		wd := g.startWatchdog(func() {}, time.Minute)
		g.relayStream(resp, q, route.BackendInfo{Name: "e", Model: "m", Version: "v1"}, wd, out)
		out.finish()
		wd.timer.Stop()
		if !bytes.Contains(w.Body.Bytes(), []byte("[DONE]")) {
			b.Fatal("stream not relayed completely")
		}
	}
}

// ginContext returns a chat request with API key k, of customer c.
func ginContext(w *httptest.ResponseRecorder, body string) *gin.Context {
	gin.SetMode(gin.ReleaseMode)
	c, _ := gin.CreateTestContext(w)
	c.Request = httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(body))
	c.Request.Header.Set("Authorization", "Bearer k")
	return c
}

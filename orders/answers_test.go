package orders

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/route"
)

// Guards against taking an answer that is not valid for an engine's acceptance of an order.
func TestInvalidAnswersConfirmNoOrder(t *testing.T) {
	for text, valid := range map[string]bool{
		"HTTP/1.1 204 No Content\r\nX-Note: 1\r\n\r\n":  true,
		"HTTP/1.1 204 No Content\r\nX Note: 1\r\n\r\n":  false,
		"HTTP/1.1 204 No Content\r\nX-Note : 1\r\n\r\n": false,
	} {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}))
		r := New(nil, nil, nil, nil, "fd-1", nil, discardLog)
		err := r.send(context.Background(), route.BackendInfo{Address: strings.TrimPrefix(srv.URL, "http://")}, 1)
		is.Equal(err == nil, valid)
		srv.Close()
	}
}

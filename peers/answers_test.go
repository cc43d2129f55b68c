package peers

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Guards against using answers of other entries that are not valid, and against refusing unusual ones.
func TestInvalidAnswersOfPeersAreNotUsed(t *testing.T) {
	answertest.CheckReader(t, "Content-Type: application/protobuf\r\n", "\x0a\x00", func(address string) error {
		_, err := HTTPDial()("http://"+address).Status(context.Background(), &peerpb.StatusRequest{})
		return err
	})
}

// Guards against a faulty entry filling the memory with its answer, which was bounded in time only.
func TestAnswersOfPeersAreBounded(t *testing.T) {
	is := is.New(t)
	address := answertest.StartEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", func(*http.Request) string { return "a" })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := HTTPDial()("http://"+address).Status(ctx, &peerpb.StatusRequest{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "body_bytes"))
}

package etcdv3_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
)

// Guards against using answers of the KV service that are not valid, and against refusing unusual ones.
func TestInvalidAnswersOfTheServiceAreNotUsed(t *testing.T) {
	answertest.CheckReader(t, "", `{"header":{"revision":"1"},"ID":"7","TTL":"5"}`, func(address string) error {
		_, err := etcdv3.New("http://"+address, nil).Grant(context.Background(), 5*time.Second)
		return err
	})
}

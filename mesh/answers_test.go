package mesh

import (
	"context"
	"testing"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Guards against using answers of other entries that are not valid, and against refusing unusual ones.
func TestInvalidAnswersOfEntriesAreNotUsed(t *testing.T) {
	const fields, unknownField = "Content-Type: application/protobuf\r\n", "\xf8\x07\x01"
	m := New(Deps{})
	answertest.CheckReader(t, fields, unknownField, func(address string) error {
		_, err := m.Peer(address).Exchange(context.Background(), &meshpb.ExchangeMessage{})
		return err
	})
	answertest.CheckReader(t, fields, unknownField, func(address string) error {
		_, err := NewLimitOwners().TakeLimit(context.Background(), fleet.Entry{Address: address}, ratelimit.Ask{})
		return err
	})
}

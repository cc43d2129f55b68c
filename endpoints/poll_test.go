package endpoints

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/openai"
)

// Guards against using load reports from answers that are not valid, and against refusing unusual ones.
func TestInvalidReportsAreNotUsed(t *testing.T) {
	p := NewPoller(nil, nil, nil, "fd-1", 1, "", slog.New(slog.DiscardHandler))
	answertest.CheckReader(t, "", `{"in_flight":3}`, func(address string) error {
		var l openai.LoadReport
		err := p.get(context.Background(), "http://"+address, &l)
		if err == nil && l.InFlight != 3 {
			return errors.New("another report")
		}
		return err
	})
}

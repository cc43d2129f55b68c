package ingress

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

const testPrompt = 10000 // tokens

func newCapacityExchange() *exchange {
	x := &exchange{server: &Server{Deps: Deps{Board: place.NewBoard(clockwork.NewFakeClock()), Rates: place.NewRates()}},
		route: &fleet.Route{Kind: fleet.Streaming, MaxAttempts: 3, Resumable: true, MaxGap: time.Second, Targets: []fleet.Target{{Service: "s"}}}}
	x.metadata.Usage.Prompt = testPrompt
	return x
}

func reportSlowdown(b *place.Board, id fleet.EndpointID, percent int) {
	ticket := b.Begin(fleet.Endpoint{ID: id, Service: "s"}, 0)
	ticket.HeadReceived(&call.Load{Slots: 16, SlowdownPercent: percent})
	ticket.End(place.Served)
}

// Guards against requests sent elsewhere that a slow endpoint was about to answer, and against a limit
// that follows a moment in which an endpoint is quicker than usual.
func TestFirstEventLimitTakesFactor(t *testing.T) {
	is := is.New(t)
	x := newCapacityExchange()
	board := x.server.Board
	idle := x.server.Rates.TimeToFirstEvent("", testPrompt)
	reportSlowdown(board, "slow", 425)
	is.Equal(x.expectedFirstEvent("unknown"), idle)
	is.Equal(x.expectedFirstEvent("slow"), scaled(idle, 4.25))
	is.Equal(x.limits("slow").first, firstEventFactor*scaled(idle, 4.25)+firstEventSlack)
	board.Begin(fleet.Endpoint{ID: "slow", Service: "s"}, time.Second)
	is.Equal(x.expectedFirstEvent("slow"), scaled(time.Second+idle, 4.25))
	reportSlowdown(board, "slow", 100)
	is.Equal(x.expectedFirstEvent("slow"), time.Second+scaled(idle, 4.25))
}

// Guards against estimates that are learned from slow endpoints as they are, and against one that is too
// low after an endpoint became slow at the end of an answer.
func TestTimesAreLearnedAtFactorOne(t *testing.T) {
	const took = 850 * time.Millisecond
	for _, tt := range []struct {
		name           string
		sent, answered int // percent, 0: not reported
		factor         float64
	}{
		{"no figures", 0, 0, 1},
		{"slow", 170, 170, 1.7},
		{"slow, first report", 0, 170, 1.7},
		{"slow at the end only", 70, 175, 0.7},
		{"slow at the start only", 175, 70, 0.7},
		{"answer without a figure", 170, 0, 1.7},
		{"figure beyond the bounds", 10000, 10000, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newCapacityExchange()
			board := x.server.Board
			if tt.sent > 0 {
				reportSlowdown(board, "e", tt.sent)
			}
			c := &upstreamCall{standing: board.Standing("e"), head: call.ResponseMetadata{Load: &call.Load{SlowdownPercent: tt.answered}}}
			x.learnTime(c, testPrompt, took)
			want := place.NewRates()
			want.Learn("", testPrompt, scaled(took, 1/tt.factor))
			is.Equal(x.server.Rates.PrefillTime("", testPrompt), want.PrefillTime("", testPrompt))
		})
	}
}

// Guards against plain requests without an estimate: at idle endpoints, their own time is all that
// differs.
func TestPlainTimeIsLearnedAtFactorOne(t *testing.T) {
	is := is.New(t)
	x := newCapacityExchange()
	x.metadata.Usage.Prompt = 0
	reportSlowdown(x.server.Board, "e", 250)
	c := &upstreamCall{standing: x.server.Board.Standing("e"), head: call.ResponseMetadata{Load: &call.Load{SlowdownPercent: 250}}}
	x.learnTime(c, 0, 150*time.Millisecond)
	var req place.Request
	x.addOwnTimes(&req)
	is.Equal(req, place.Request{OwnTime: 60 * time.Millisecond})
}

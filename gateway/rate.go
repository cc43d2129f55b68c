package gateway

import (
	"context"
	"sync"

	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/route"
)

// Bounds of rating answers after they were given.
const (
	ratingQueue   = 256
	ratingWorkers = 4
	// ratedText is how much of a streamed answer is kept for the rater.
	ratedText = 16 << 10
)

// rating is an answer to be rated after the caller has it.
type rating struct {
	ans      rater.Answer
	subject  string
	minScore float64
}

// unrated is the score of an answer that the rater did not rate in time. It
// passes no step: a cascade then goes on to the costlier model, so a rater
// that is down costs money and not quality.
const unrated = -1

func (h *held) rated() bool { return h.score != unrated }

func (q *request) ratedAnswer(dec *route.Decision, text string) rater.Answer {
	prompt := ""
	for _, m := range q.chat.Messages {
		prompt += m.Content
	}
	return rater.Answer{RequestID: q.rid, Model: dec.Model, Version: dec.Version, Prompt: prompt, Text: text}
}

// rate asks the rater while the caller waits.
func (g *Gateway) rate(q *request, dec *route.Decision, text string) float64 {
	if g.Rater == nil {
		return unrated
	}
	score, err := g.Rater.Rate(q.c.Request.Context(), q.ratedAnswer(dec, text))
	if err != nil {
		g.Scope.Counter("ratings_failed").Inc(1)
		return unrated
	}
	return score
}

// observe counts a guarded version's whole answer. An answer that could not
// be rated counts as good: it came, and counting only failures would halt
// every version in time.
func (g *Gateway) observe(dec *route.Decision, t *route.Table, rated bool, score float64) {
	if subject, gd := t.Guarded(dec.Model, dec.Version); g.Guard != nil && gd != nil {
		g.Guard.Observe(subject, rated && score < gd.MinScore)
	}
}

// judge has a guarded version's answer rated after the caller has it.
func (g *Gateway) judge(q *request, dec *route.Decision, text string) {
	subject, gd := q.table.Guarded(dec.Model, dec.Version)
	if g.Guard == nil || gd == nil {
		return
	}
	if g.Rater == nil {
		g.Guard.Observe(subject, false)
		return
	}
	select {
	case g.ratings <- rating{ans: q.ratedAnswer(dec, text), subject: subject, minScore: gd.MinScore}:
	default: // the rater is behind: sample fewer rather than hold callers
		g.Scope.Counter("ratings_skipped").Inc(1)
	}
}

// failed counts a guarded version's failure to answer.
func (g *Gateway) failed(q *request, dec *route.Decision) {
	if subject, gd := q.table.Guarded(dec.Model, dec.Version); g.Guard != nil && gd != nil {
		g.Guard.Observe(subject, true)
	}
}

// RunRatings rates queued answers until ctx ends.
func (g *Gateway) RunRatings(ctx context.Context) {
	var wg sync.WaitGroup
	for range ratingWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case r := <-g.ratings:
					score, err := g.Rater.Rate(ctx, r.ans)
					g.Guard.Observe(r.subject, err == nil && score < r.minScore)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	wg.Wait()
}

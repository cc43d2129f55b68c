package gateway

import (
	"context"
	"sync"

	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/route"
)

// Limits on rating answers after their delivery.
const (
	ratingQueueSize = 256
	ratingWorkers   = 4
	// maxRatedText is how many bytes of a streamed answer are kept for the rater.
	maxRatedText = 16 << 10
)

// rating is an answer that is rated after its delivery.
type rating struct {
	ans      rater.Answer
	subject  string
	minScore float64
}

// unrated is the score of an answer that the rater did not rate in time. It
// passes no step, so the cascade goes on to the costlier model: an outage of the
// rater raises cost but does not lower quality.
const unrated = -1

func (h *heldAnswer) rated() bool { return h.score != unrated }

func (q *request) ratedAnswer(dec *route.Decision, text string) rater.Answer {
	prompt := ""
	for _, m := range q.chat.Messages {
		prompt += m.Content
	}
	return rater.Answer{RequestID: q.rid, Model: dec.Model, Version: dec.Version, Prompt: prompt, Text: text}
}

// rate calls the rater while the caller waits.
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

// observe reports a complete answer of a guarded version to the guard. An unrated
// answer counts as good: if only failures counted, every version would eventually
// be halted.
func (g *Gateway) observe(dec *route.Decision, t *route.Table, rated bool, score float64) {
	if subject, gd := t.Guarded(dec.Model, dec.Version); g.Guard != nil && gd != nil {
		g.Guard.Observe(subject, rated && score < gd.MinScore)
	}
}

// enqueueRating queues the answer of a guarded version for rating after its
// delivery.
func (g *Gateway) enqueueRating(q *request, dec *route.Decision, text string) {
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
	default: // the rater is behind: skip samples rather than delay callers
		g.Scope.Counter("ratings_skipped").Inc(1)
	}
}

// observeFailure reports to the guard that a guarded version failed to answer.
func (g *Gateway) observeFailure(q *request, dec *route.Decision) {
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

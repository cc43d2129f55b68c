package ingress

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/upstream"
)

// metrics are the server's counters and histograms. To bound their cardinality, no
// tag holds an id, a route or a customer.
type metrics struct {
	scope    tally.Scope
	attempts map[place.Outcome]tally.Counter
	answers  map[string]tally.Histogram
}

// latencyBuckets, exported in seconds, cover objectives of 150 ms up to streams of
// half a minute.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{scope: scope, attempts: map[place.Outcome]tally.Counter{}, answers: map[string]tally.Histogram{}}
	for o := place.Served; o <= place.NoPath; o++ {
		m.attempts[o] = scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts_total")
	}
	for _, class := range []string{"2xx", "4xx", "5xx", "other"} {
		m.answers[class] = scope.Tagged(map[string]string{"class": class}).Histogram("request_duration_seconds", latencyBuckets)
	}
	return m
}

func (m metrics) attempt(o place.Outcome) { m.attempts[o].Inc(1) }

// crash counts a request whose endpoint crashed, by how far it had come.
func (m metrics) crash(stage quarantine.Stage) {
	m.scope.Tagged(map[string]string{"stage": stage.String()}).Counter("crashes_total").Inc(1)
}

// brokenAnswer counts an answer that broke off, by what became of its endpoint.
func (m metrics) brokenAnswer(found exitCheck) {
	m.scope.Tagged(map[string]string{"why": strings.ReplaceAll(found.why, " ", "_")}).Counter("broken_answers_total").Inc(1)
}

// unreached counts a send for which the endpoint did not accept a connection.
func (m metrics) unreached(err error) {
	m.scope.Tagged(map[string]string{"reason": upstream.Reason(err)}).Counter("unreached_total").Inc(1)
}

// stranded records whether the entry considers itself cut off from all endpoints.
func (m metrics) stranded(is bool) {
	value := 0.0
	if is {
		value = 1
	}
	m.scope.Gauge("stranded").Update(value)
}

func (m metrics) answer(status int, took time.Duration) {
	class := strconv.Itoa(status/100) + "xx"
	h, ok := m.answers[class]
	if !ok {
		h = m.answers["other"]
	}
	h.RecordDuration(took)
}

func (m metrics) refusal(code string) {
	m.scope.Tagged(map[string]string{"code": code}).Counter("refusals_total").Inc(1)
}

// logRequest writes the request's log line, once: its outcome and each endpoint that
// it was sent to.
func (x *exchange) logRequest() {
	if x.logged {
		return
	}
	x.logged = true
	s := x.server
	took := s.Clock.Since(x.received)
	s.metrics.answer(x.status, took)
	if x.outcome != "answered" {
		s.metrics.refusal(x.outcome)
	}
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs, slog.String("id", call.Clip(x.metadata.ID)), slog.Int("status", x.status), slog.String("outcome", x.outcome),
		slog.Int64("ms", took.Milliseconds()), slog.Int64("revision", x.view.Revision.Number()), slog.Int64("era", int64(x.view.Revision.Era())))
	if age, ok := s.Fleet.Age(); ok {
		attrs = append(attrs, slog.Int64("age_ms", age.Milliseconds()))
	}
	if x.view.Config != nil {
		attrs = append(attrs, slog.Int64("config", x.view.Config.Version))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name), slog.Int64("allowed_ms", x.timeLimit().Milliseconds()))
	}
	if x.customer != nil {
		attrs = append(attrs, slog.String("customer", x.customer.Name))
	}
	if x.subject.Request != 0 {
		attrs = append(attrs, slog.String("fingerprint", x.subject.Request.String()))
	}
	if len(x.subject.Parts) > 0 && x.outcome != "answered" {
		attrs = append(attrs, slog.String("parts", x.subject.PartsString()))
	}
	if x.metadata.Usage.Prompt > 0 {
		attrs = append(attrs, slog.Int("prompt_tokens", x.metadata.Usage.Prompt))
	}
	attrs = append(attrs, x.standingAttrs()...)
	if late := s.Overload.Lateness(); late > 0 {
		attrs = append(attrs, slog.Int64("late_ms", late.Milliseconds()), slog.Int64("link_wait_ms", s.Overload.LinkWait().Milliseconds()))
	}
	if x.handedTo != "" {
		attrs = append(attrs, slog.String("handed_to", x.handedTo))
	}
	if since, ok := s.Gate.StopElapsed(); ok {
		attrs = append(attrs, slog.Int64("stopping_ms", since.Milliseconds()))
	}
	if len(x.attempts) > 0 {
		attrs = append(attrs, slog.String("sends", x.formatAttempts()))
	}
	s.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "ingress: request ended.", attrs...)
}

// formatAttempts formats the attempts for the log: endpoint, version, whether its
// registration had lapsed, model, when it was sent, when the first event came, status
// and outcome.
func (x *exchange) formatAttempts() string {
	var b []byte
	for i, a := range x.attempts {
		if i > 0 {
			b = append(b, "; "...)
		}
		b = append(b, a.endpoint.ID...)
		b = append(b, ' ')
		b = append(b, a.endpoint.Version...)
		if a.via != "" {
			b = append(b, " via="...)
			b = append(b, a.via...)
		}
		if a.lapsed {
			b = append(b, " lapsed"...)
		}
		if a.model != "" {
			b = append(b, " model="...)
			b = append(b, a.model...)
		}
		b = append(b, " at="...)
		b = strconv.AppendInt(b, a.begun.Milliseconds(), 10)
		b = append(b, "ms first="...)
		b = strconv.AppendInt(b, a.first.Milliseconds(), 10)
		b = append(b, "ms status="...)
		b = strconv.AppendInt(b, int64(a.status), 10)
		if a.events > 0 {
			b = fmt.Appendf(b, " events=%d in %dms pause=%dms", a.events, a.streamTime.Milliseconds(), a.longestPause.Milliseconds())
		}
		if a.confidence >= 0 {
			b = append(b, " confidence="...)
			b = strconv.AppendInt(b, int64(a.confidence), 10)
		}
		if a.keepReason != "" {
			b = fmt.Appendf(b, " kept=%q", a.keepReason)
		}
		if a.load != nil {
			b = fmt.Appendf(b, " load=%d+%d/%d", a.load.Running, a.load.Waiting, a.load.Slots)
			if a.load.SlowdownPercent > 0 {
				b = fmt.Appendf(b, "@%d%%", a.load.SlowdownPercent)
			}
		}
		if a.factor > 0 {
			b = fmt.Appendf(b, " factor=%.2f", a.factor)
		}
		if a.limit > 0 {
			b = fmt.Appendf(b, " limit=%g/s", a.limit)
		}
		b = append(b, ' ')
		b = append(b, a.outcome.String()...)
		if a.crashed {
			b = append(b, " crashed"...)
		}
		if a.cause != "" {
			b = append(b, " ("...)
			b = append(b, a.cause...)
			b = append(b, ')')
		}
	}
	return string(b)
}

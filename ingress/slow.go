package ingress

import (
	"net/http"
	"time"
)

const (
	// writeMargin is how much longer than its request a caller may take to read the answer, so that a
	// failure at the deadline still reaches it.
	writeMargin = time.Second
	// slowReadAfter is how long a caller must have held up a stream for the stream's end to be its doing:
	// engines cut off streams that are not read for some seconds.
	slowReadAfter = time.Second
)

// boundWrites closes the caller's connection if it does not take the answer by a time. net/http resets that
// for the connection's next request.
func (x *exchange) boundWrites(until time.Time) {
	x.writeUntil = until
	_ = http.NewResponseController(x.w).SetWriteDeadline(until) // only test recorders do not support deadlines
}

// forward writes an event to the caller, which holds up the stream if it reads slowly. That time counts
// neither as a pause of the stream nor against the endpoint.
func (x *exchange) forward(c *upstreamCall, in *eventReader, event []byte) error {
	begun := x.server.Clock.Now()
	c.watch.suspend(true)
	_, err := x.w.Write(event)
	x.w.Flush()
	c.watch.suspend(false)
	took := x.server.Clock.Since(begun)
	c.heldUp += took
	in.progress.extend(took)
	return err
}

// suspend stops and resumes the measuring of pauses.
func (w *watchdog) suspend(suspended bool) {
	now := w.server.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspended = suspended
	w.last = now
}

// eventTime returns the time within which bytes of a stream must form an event; 0: unbounded.
func (x *exchange) eventTime() time.Duration {
	if x.route.MaxGap <= 0 {
		return 0
	}
	return time.Duration(maxGapFactor*float64(x.route.MaxGap)) + latenessFactor*x.server.Overload.Lateness()
}

// heldUpLong reports whether the caller held up the stream for so long that the endpoint may have cut it off
// for that.
func (c *upstreamCall) heldUpLong() bool { return c.heldUp >= slowReadAfter }

// leftOutcome returns the outcome of a request whose caller takes no more of the answer.
func (x *exchange) leftOutcome() string {
	if !time.Now().Before(x.writeUntil) {
		return "caller_too_slow"
	}
	return "caller_left"
}

// writeAnswer writes a buffered answer, which is held in memory for as long as the caller takes.
func (x *exchange) writeAnswer(body []byte) {
	if _, err := x.w.Write(body); err != nil && !time.Now().Before(x.writeUntil) {
		x.outcome = x.leftOutcome()
	}
}

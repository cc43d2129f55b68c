package overload

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// interval is the time between two probes, idleInterval between two looks at a process that is not
	// busy.
	interval     = 20 * time.Millisecond
	idleInterval = 50 * time.Millisecond
	// maxDelay is the delay from which a probe shows that work waits.
	maxDelay = 50 * time.Millisecond
	// maxLateness is the lateness from which what is read is served late. A process whose quota is used up
	// stops for most of a tenth of a second.
	maxLateness = 110 * time.Millisecond
	// minLateness is the delay from which a probe counts towards Lateness, for latenessWindow.
	minLateness    = 20 * time.Millisecond
	latenessWindow = 500 * time.Millisecond
	// The process is overloaded once enterProbes in a row, over enterAfter, were delayed.
	enterAfter  = 200 * time.Millisecond
	enterProbes = 3
	// It is also overloaded if work waited for delayedShare of usageWindow and it used fullShare of its
	// processor share meanwhile.
	fullShare    = 0.9
	delayedShare = 0.3
)

// Detector measures whether the process keeps up. It is safe for concurrent use.
type Detector struct {
	// Busy reports whether there is enough work to be measured; nil: always.
	Busy func() bool
	// OnChange is called when the state changes; may be nil.
	OnChange func(overloaded bool)
	Log      *slog.Logger
	// Limiter is adjusted to the state of the process.
	Limiter *Limiter
	// Link measures the instance's network link; nil: it is not measured.
	Link *Link
	// Share is the process's share of a core; 0: not known.
	Share float64

	overloaded atomic.Bool
	due        atomic.Pointer[time.Time] // when the next probe is due; nil: Run has not started
	delayed    int                       // probes in a row
	since      time.Time                 // of the first of them
	late       []delayedProbe            // in usageWindow
	usage      usage

	mu         sync.Mutex
	lateProbes []delayedProbe // of latenessWindow, from minLateness on
}

// Overloaded reports whether the process has more work than it can do.
func (d *Detector) Overloaded() bool { return d != nil && d.overloaded.Load() }

// Lateness returns how late the process runs what is due, or how long its packets wait for the link: the most
// of the last latenessWindow, 0 if that is less than minLateness.
func (d *Detector) Lateness() time.Duration {
	if d == nil {
		return 0
	}
	now := time.Now()
	return max(d.processLateness(now, now.Add(-latenessWindow)), d.Link.Wait())
}

// processLateness is Lateness without the link, of what was due since a time within latenessWindow.
func (d *Detector) processLateness(now, since time.Time) time.Duration {
	late := d.overdue(now)
	if late < minLateness {
		late = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.lateProbes {
		if !p.at.Before(since) {
			late = max(late, p.delay)
		}
	}
	return late
}

// Connected records how long a connect to an endpoint or to another entry took, at least. What the process may
// have added is left out.
func (d *Detector) Connected(took time.Duration) {
	if d != nil {
		now := time.Now()
		d.Link.Connected(max(0, took-d.processLateness(now, now.Add(-took))))
	}
}

// noteLateness records how late the process ran what was due.
func (d *Detector) noteLateness(now time.Time, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.lateProbes) > 0 && now.Sub(d.lateProbes[0].at) >= latenessWindow {
		d.lateProbes = d.lateProbes[1:]
	}
	if late >= minLateness {
		d.lateProbes = append(d.lateProbes, delayedProbe{now, late})
	}
}

// overdue returns how long the next probe has been due; 0: it is not.
func (d *Detector) overdue(now time.Time) time.Duration {
	if due := d.due.Load(); due != nil {
		return max(0, now.Sub(*due))
	}
	return 0
}

// Late reports whether work waits in the process now, so that what it reads is served late.
func (d *Detector) Late() bool { return d != nil && d.overdue(time.Now()) > maxLateness }

// LinkWait returns how long packets wait for the instance's link.
func (d *Detector) LinkWait() time.Duration {
	if d == nil {
		return 0
	}
	return d.Link.Wait()
}

// LinkFull reports whether callers use all that they may of the instance's link.
func (d *Detector) LinkFull() bool { return d != nil && d.Link.Full() }

// Choked reports whether packets wait so long for the instance's link that no request can be served in time.
func (d *Detector) Choked() bool { return d != nil && d.Link.Choked() }

// Run measures until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	r, w, err := os.Pipe()
	if err != nil {
		d.Log.Error("overload: no pipe; overload is not detected.", "error", err)
		return
	}
	defer r.Close()
	defer w.Close()
	arrived := make(chan struct{})
	go readAll(ctx, r, arrived)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	busy, due := false, time.Now()
	for {
		before := busy
		busy = d.Overloaded() || d.Limiter.Limited() || d.Busy == nil || d.Busy()
		if busy && !before {
			d.Limiter.resetCount()
		}
		if busy {
			sent := time.Now()
			if _, err := w.Write([]byte{0}); err != nil {
				d.Log.Error("overload: pipe is broken; overload is not detected.", "error", err)
				return
			}
			select {
			case <-arrived:
			case <-ctx.Done():
				return
			}
			d.observe(time.Now(), time.Since(sent), processorTime())
		}
		now := time.Now()
		d.noteLateness(now, now.Sub(due))
		wait := idleInterval
		if busy {
			wait = interval
		}
		due = time.Now().Add(wait)
		d.due.Store(&due)
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

func readAll(ctx context.Context, r *os.File, arrived chan<- struct{}) {
	b := make([]byte, 1)
	for {
		if _, err := r.Read(b); err != nil {
			return // closed at the end of Run
		}
		select {
		case arrived <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// observe records the delay of a probe and the processor time used so far.
func (d *Detector) observe(now time.Time, delay, cpu time.Duration) {
	if delay <= maxDelay {
		d.delayed = 0
	} else {
		if d.delayed == 0 {
			d.since = now.Add(-delay)
		}
		d.delayed++
		d.late = append(d.late, delayedProbe{now, delay})
	}
	for len(d.late) > 0 && now.Sub(d.late[0].at) > usageWindow {
		d.late = d.late[1:]
	}
	var waited time.Duration
	for _, p := range d.late {
		waited += p.delay
	}
	used, known := d.usage.add(usageSample{now, cpu})
	full := known && d.Share > 0 && used >= fullShare*d.Share
	d.set(d.Link.Wait() > 0 || d.delayed >= enterProbes && now.Sub(d.since) >= enterAfter || full && waited >= time.Duration(delayedShare*float64(usageWindow)))
	d.Limiter.adjust(d.Overloaded())
}

// delayedProbe is a probe that was delayed.
type delayedProbe struct {
	at    time.Time // when it arrived
	delay time.Duration
}

func (d *Detector) set(overloaded bool) {
	if d.overloaded.Swap(overloaded) != overloaded && d.OnChange != nil {
		d.OnChange(overloaded)
	}
}

package overload

import (
	"syscall"
	"time"
)

// usageWindow is the time over which the processor time is measured: several quota periods.
const usageWindow = 300 * time.Millisecond

// usageSample is the processor time of the process up to a time.
type usageSample struct {
	at  time.Time
	cpu time.Duration
}

// usage holds samples of the last usageWindow, and one from before.
type usage []usageSample

// add adds a sample and returns the processor time per time since the oldest one; ok is false while that
// is too short.
func (u *usage) add(s usageSample) (share float64, ok bool) {
	*u = append(*u, s)
	for len(*u) > 2 && s.at.Sub((*u)[1].at) >= usageWindow {
		*u = (*u)[1:]
	}
	first := (*u)[0]
	span := s.at.Sub(first.at)
	if span < usageWindow {
		return 0, false
	}
	return float64(s.cpu-first.cpu) / float64(span), true
}

// processorTime returns the processor time that the process has used; 0 if that cannot be told.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

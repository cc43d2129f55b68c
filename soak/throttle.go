package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// throttlePeriod is the period in which a throttled process may use its share of a core.
	throttlePeriod = 100 * time.Millisecond
	// throttlePoll is how often its use is read.
	throttlePoll = 2 * time.Millisecond
)

// throttle bounds the processor time of a process until ctx ends, as an instance with a share of a
// core does: it runs at full speed until its allowance is used up, and then not until the period ends.
func throttle(ctx context.Context, p *process, share float64) {
	allowance := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		pid, end := p.pid(), time.Now().Add(throttlePeriod)
		begun := cpuTime(pid)
		for time.Now().Before(end) && ctx.Err() == nil {
			time.Sleep(throttlePoll)
			if cpuTime(pid)-begun >= allowance {
				_ = syscall.Kill(pid, syscall.SIGSTOP) // fails if it has exited
				time.Sleep(time.Until(end))
				_ = syscall.Kill(pid, syscall.SIGCONT)
			}
		}
	}
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// cpuTime returns the processor time that a process and its threads have used; 0 if it has exited.
func cpuTime(pid int) time.Duration {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0
	}
	var sum time.Duration
	for _, thread := range threads {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, thread.Name()))
		if err != nil {
			continue // the thread has ended
		}
		if first, _, ok := strings.Cut(string(raw), " "); ok {
			ns, _ := strconv.ParseInt(first, 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// peakMemory returns the largest resident set of a process so far, in bytes; 0 if it has exited.
func peakMemory(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

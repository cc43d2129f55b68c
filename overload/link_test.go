package overload

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testLink returns a link of 10 Mbit/s whose clock is advanced by hand.
func testLink() (l *Link, advance func(time.Duration)) {
	now := time.Unix(100, 0)
	l = NewLink(10)
	l.now = func() time.Time { return now }
	l.filledAt = now
	return l, func(d time.Duration) { now = now.Add(d) }
}

// Guards against reading more than the instance's link can pass on.
func TestLinkIsFullWhileCallersUseMoreThanTheirShare(t *testing.T) {
	is := is.New(t)
	l, advance := testLink()
	client, server := net.Pipe()
	defer client.Close()
	go func() { _, _ = client.Write(make([]byte, 200<<10)) }()
	conn := l.Meter(server)
	defer conn.Close()
	is.True(!l.Full())
	for range 200 {
		_, err := conn.Read(make([]byte, 1<<10))
		is.NoErr(err)
	}
	is.True(l.Full())
	advance(time.Second)
	is.True(!l.Full())
}

// Guards against accepting so many connections at once that what they send fills the link before it is measured.
func TestConnectionsTakeTheMeanOfEarlierOnesAtOnce(t *testing.T) {
	is := is.New(t)
	l, advance := testLink()
	l.mean = 10 << 10
	var conns []net.Conn
	for !l.Full() {
		_, server := net.Pipe()
		conns = append(conns, l.Meter(server))
	}
	is.True(len(conns) > 2 && len(conns) < 20)
	for _, c := range conns { // unused
		_ = c.Close()
		_ = c.Close()
	}
	is.True(!l.Full())
	advance(time.Minute)
	is.True(!l.Full())
}

// Guards against a link whose queue is long going unnoticed, and against a slow endpoint counting as one.
func TestSlowConnectsToAllShowAWaitForTheLink(t *testing.T) {
	is := is.New(t)
	l, advance := testLink()
	l.Connected(2 * time.Millisecond)
	l.Connected(150 * time.Millisecond) // one endpoint
	is.Equal(l.Wait(), time.Duration(0))
	advance(time.Second)
	l.Connected(152 * time.Millisecond)
	is.Equal(l.Wait(), 150*time.Millisecond)
	is.True(!l.Choked())
	advance(2 * queueWindow)
	l.Connected(402 * time.Millisecond)
	is.True(l.Choked())
	l.Connected(2 * time.Millisecond)
	is.Equal(l.Wait(), time.Duration(0))
}

// Guards against an entry that accepts nothing for good because nothing tells it that its link is free again.
func TestAWaitForTheLinkIsForgotten(t *testing.T) {
	is := is.New(t)
	l, advance := testLink()
	l.Connected(2 * time.Millisecond)
	advance(time.Second)
	l.Connected(2 * time.Second)
	is.True(l.Choked())
	advance(maxRemembered + time.Millisecond)
	is.True(!l.Choked())
	is.Equal(l.Wait(), time.Duration(0))
}

// Guards against taking the process's own lateness for a wait for the link.
func TestConnectsOfALateProcessShowNoWaitForTheLink(t *testing.T) {
	is := is.New(t)
	d := &Detector{Link: NewLink(10)}
	d.Connected(time.Millisecond)
	time.Sleep(2 * queueWindow)
	d.noteLateness(time.Now(), 90*time.Millisecond)
	d.Connected(91 * time.Millisecond)
	is.Equal(d.LinkWait(), time.Duration(0))
	is.Equal(d.Lateness(), 90*time.Millisecond)
	time.Sleep(2 * queueWindow)
	d.Connected(91 * time.Millisecond) // begun after it was late
	is.True(d.LinkWait() > minWait)
}

// Guards against reading requests while work waits, before any probe has shown it.
func TestProcessIsLateOnceAProbeIsOverdue(t *testing.T) {
	is := is.New(t)
	d := &Detector{}
	is.True(!d.Late())
	due := time.Now().Add(-maxLateness - time.Millisecond)
	d.due.Store(&due)
	is.True(d.Late())
	due = time.Now()
	d.due.Store(&due)
	is.True(!d.Late())
}

// Guards against leaving connections unread for waits of some tens of milliseconds, which a process with a small
// share of a core sees without a queue at its link.
func TestShortWaitsDoNotCount(t *testing.T) {
	is := is.New(t)
	l, advance := testLink()
	l.Connected(time.Millisecond)
	for _, tt := range []struct {
		took   time.Duration
		counts bool
	}{{45 * time.Millisecond, false}, {90 * time.Millisecond, true}, {40 * time.Millisecond, false}} {
		advance(2 * queueWindow)
		l.Connected(tt.took)
		is.Equal(l.Wait() > 0, tt.counts)
	}
}

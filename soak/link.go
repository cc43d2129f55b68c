package soak

import (
	"net"
	"sync"
	"time"
)

const (
	// packetBytes is the size of a packet without data, as connects exchange them.
	packetBytes = 60
	// linkChunk is how many bytes of a connection wait for a link at a time, as its window allows.
	linkChunk = 64 << 10
)

// link is the network link of an instance, through which all its connections with callers and engines pass. A
// nil link is unbounded.
type link struct {
	mbps    float64
	in, out bandwidth

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
}

func newLink(mbps float64) *link {
	rate := mbps * 1e6 / 8
	return &link{mbps: mbps, in: bandwidth{rate: rate}, out: bandwidth{rate: rate}, conns: map[net.Conn]bool{}}
}

// bandwidth lets bytes pass one after the other, in the order in which they came.
type bandwidth struct {
	rate float64 // bytes a second

	mu   sync.Mutex
	free time.Time // when what came has passed
}

func (b *bandwidth) pass(n int) {
	b.mu.Lock()
	now := time.Now()
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	passed := b.free
	b.mu.Unlock()
	time.Sleep(time.Until(passed))
}

// pass waits until bytes have passed, to or from the instance.
func (l *link) pass(n int, toInstance bool) {
	switch {
	case l == nil:
	case toInstance:
		l.in.pass(n)
	default:
		l.out.pass(n)
	}
}

// connect waits until the packets of a connect have passed.
func (l *link) connect() {
	l.pass(packetBytes, false)
	l.pass(packetBytes, true)
}

// listen returns an address from which connections pass the link to the one of the instance.
func (l *link) listen(target string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go l.serve(c, target)
		}
	}()
	return ln.Addr().String(), nil
}

func (l *link) serve(client net.Conn, target string) {
	defer client.Close()
	l.connect()
	instance, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	defer instance.Close()
	l.track(client, instance, true)
	defer l.track(client, instance, false)
	done := make(chan struct{}, 2)
	go l.forward(instance, client, true, done)
	go l.forward(client, instance, false, done)
	<-done
}

func (l *link) track(client, instance net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []net.Conn{client, instance} {
		if open {
			l.conns[c] = true
		} else {
			delete(l.conns, c)
		}
	}
}

// forward copies bytes from one connection to the other until either ends.
func (l *link) forward(to, from net.Conn, toInstance bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, linkChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.pass(n, toInstance)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// close ends all connections with callers.
func (l *link) close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

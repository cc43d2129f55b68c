package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is the connection between a machine and the platform's store. While it is cut, nothing passes and nothing
// is answered, as behind a partition.
type link struct {
	address string
	target  string
	cut     atomic.Bool
	passed  atomic.Int64 // bytes from the machine to the store

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(in)
		}
	}()
	return l, nil
}

// set cuts or mends the link. What was sent during a cut is lost, so these connections end.
func (l *link) set(cut bool) {
	l.cut.Store(cut)
	if cut {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

func (l *link) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	l.track(in, true)
	defer l.track(in, false)
	done := make(chan struct{}, 2)
	go l.forward(out, in, true, done)
	go l.forward(in, out, false, done)
	<-done
}

// forward copies bytes until either side closes. After a byte was lost, nothing more passes.
func (l *link) forward(to, from net.Conn, up bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || n > 0 && l.cut.Load()
		if n > 0 && !lost {
			if up {
				l.passed.Add(int64(n))
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

package main

import (
	"net"
	"sync/atomic"
)

// link is the connection between a machine and the platform's store. It counts what the machine sends.
type link struct {
	address string
	target  string
	passed  atomic.Int64 // bytes from the machine to the store
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), target: target}
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

func (l *link) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go l.forward(out, in, true, done)
	go l.forward(in, out, false, done)
	<-done
}

// forward copies bytes until either side closes.
func (l *link) forward(to, from net.Conn, up bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
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

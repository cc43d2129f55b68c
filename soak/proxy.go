package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a proxy treats the traffic that passes it.
type Mode int32

// Proxy modes.
const (
	Pass   Mode = iota
	Reset       // connections, also new ones, are reset
	Silent      // nothing is forwarded in either direction
	OneWay      // nothing is forwarded from the target to the client
	Slow        // everything is delayed by slowDelay
)

// slowDelay is the delay before each write in mode Slow.
const slowDelay = 150 * time.Millisecond

// Proxy is a loopback TCP proxy for one target address.
type Proxy struct {
	Address string
	target  string
	ln      net.Listener
	mode    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy for target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set changes the mode. Open connections are reset if m is Reset, or if the previous mode
// dropped bytes, as these are lost.
func (p *Proxy) Set(m Mode) {
	was := Mode(p.mode.Swap(int32(m)))
	if m == Reset || was == Silent || was == OneWay {
		p.resetAll()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(in net.Conn) {
	p.track(in, true)
	defer p.track(in, false)
	defer in.Close()
	if Mode(p.mode.Load()) == Reset {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.track(out, true)
	defer p.track(out, false)
	defer out.Close()
	done := make(chan struct{}, 2)
	go p.forward(out, in, false, done)
	go p.forward(in, out, true, done)
	<-done
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// forward copies bytes from one connection to the other; toClient reports the direction.
// Once bytes were dropped nothing more is forwarded: a connection may go silent, but it
// never continues after a gap.
func (p *Proxy) forward(to, from net.Conn, toClient bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		switch m := Mode(p.mode.Load()); {
		case m == Silent || m == OneWay && toClient:
			dropped = dropped || n > 0
		case m == Slow:
			time.Sleep(slowDelay)
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does with what passes.
type Mode int32

// Modes of a proxy.
const (
	Pass   Mode = iota
	Reset       // connections are reset, new ones too
	Silent      // nothing passes in either direction
	OneWay      // what comes back does not pass
	Slow        // everything is late
)

// slowBy is how late a slow proxy is.
const slowBy = 150 * time.Millisecond

// Proxy is a loopback TCP proxy before one address.
type Proxy struct {
	Address string
	target  string
	ln      net.Listener
	mode    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy before target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set changes the mode. Connections that were open under a mode that lost
// bytes are reset when it ends: their bytes are gone.
func (p *Proxy) Set(m Mode) {
	was := Mode(p.mode.Swap(int32(m)))
	if m == Reset || was == Silent || was == OneWay {
		p.resetAll()
	}
}

// Close ends the proxy.
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
	p.keep(in, true)
	defer p.keep(in, false)
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
	p.keep(out, true)
	defer p.keep(out, false)
	defer out.Close()
	done := make(chan struct{}, 2)
	go p.copy(out, in, false, done)
	go p.copy(in, out, true, done)
	<-done
}

func (p *Proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// copy passes bytes on; back: from the target to the caller. Once some were
// lost, none pass any more: a connection may fall silent, but it never goes
// on behind a hole.
func (p *Proxy) copy(to, from net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch m := Mode(p.mode.Load()); {
		case m == Silent || m == OneWay && back:
			lost = lost || n > 0
		case m == Slow:
			time.Sleep(slowBy)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

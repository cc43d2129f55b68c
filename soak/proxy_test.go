package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer starts a server that echoes what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func TestProxyForwardsAndResets(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Address)
	is.NoErr(err)
	fmt.Fprintln(c, "one")
	line, err := bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n")
	p.Set(Reset)
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil)
}

// Bytes sent while one direction is cut are lost, and the connection is reset.
func TestConnectionIsResetAfterOneWayLoss(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Address)
	is.NoErr(err)
	r := bufio.NewReader(c)
	fmt.Fprintln(c, "one")
	_, err = r.ReadString('\n')
	is.NoErr(err)
	p.Set(OneWay)
	fmt.Fprintln(c, "two")
	p.Set(Pass)
	_, err = r.ReadString('\n')
	is.True(err != nil)
}

// Guards against a gap in a caller's stream that only the proxy caused: it dropped
// bytes while silent and forwarded later ones on the same connection before it was
// reset.
func TestNothingIsForwardedAfterDroppedBytes(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Address)
	is.NoErr(err)
	r := bufio.NewReader(c)
	fmt.Fprintln(c, "one")
	_, err = r.ReadString('\n')
	is.NoErr(err)
	p.mode.Store(int32(Silent))
	fmt.Fprintln(c, "two")
	time.Sleep(50 * time.Millisecond) // for the proxy to read and drop it
	p.mode.Store(int32(Pass))
	fmt.Fprintln(c, "three")
	is.NoErr(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	line, err := r.ReadString('\n')
	is.True(err != nil)
	is.Equal(line, "")
}

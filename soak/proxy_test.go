package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/upstream"
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

func TestEgressCutsNewAndOpenConnectionsApart(t *testing.T) {
	for _, tt := range []struct {
		name                string
		cut                 Cut
		newWorks, openWorks bool
	}{
		{"hangs", CutHangs, false, false},
		{"resets", CutResets, false, false},
		{"refuses", CutRefuses, false, true},
		{"silences", CutSilences, true, false},
		{"passes", NoCut, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := startEchoServer(t)
			e, err := NewEgress()
			is.NoErr(err)
			defer e.Close()
			dial := func() (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				return egress.ViaProxy(upstream.Dial, e.Address)(ctx, target)
			}
			echoes := func(c net.Conn) bool {
				_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
				if _, err := io.WriteString(c, "ping"); err != nil {
					return false
				}
				_, err := io.ReadFull(c, make([]byte, 4))
				return err == nil
			}
			open, err := dial()
			is.NoErr(err)
			defer open.Close()
			is.True(echoes(open))
			e.Set(tt.cut)
			is.Equal(echoes(open), tt.openWorks)
			c, err := dial()
			is.Equal(err == nil, tt.newWorks)
			if err == nil {
				is.True(echoes(c))
				_ = c.Close()
			}
		})
	}
}

package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// echo answers each line with itself.
func echo(t *testing.T) string {
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

func TestProxyPassesAndResets(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
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

// What was sent into a silence is lost, and the connection with it.
func TestASilencedConnectionDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
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

package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash being taken for a lost connection: an exiting process still accepts connections for a moment.
func TestProberDetectsAnExitingEndpoint(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_ = ln.Close()
		_ = conn.Close()
	}()
	prober := Prober{Window: time.Minute}
	is.True(prober.Exited(ln.Addr().String()))
}

// Guards against a lost connection being taken for a crash.
func TestProberIgnoresALostConnection(t *testing.T) {
	for name, keep := range map[string]bool{"keeps the next one": true, "loses the next one too": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					if keep {
						defer func() { _ = conn.Close() }()
						continue
					}
					_ = conn.Close()
				}
			}()
			prober := Prober{Window: 10 * time.Millisecond}
			is.True(!prober.Exited(ln.Addr().String()))
		})
	}
}

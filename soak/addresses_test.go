package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that finds its port taken by a connection or by another process when it starts again.
func TestAddressesAreOutsideTheRangeOfConnections(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 200 {
		address := freeAddress()
		tcp, err := net.ResolveTCPAddr("tcp", address)
		is.NoErr(err)
		is.True(tcp.Port >= firstPort && tcp.Port < firstPort+portCount)
		is.True(!seen[address])
		seen[address] = true
	}
}

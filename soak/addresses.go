package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of processes, which may start again: below those that the system gives to connections, one of
// which could take a port while its process is down.
const (
	firstPort = 12000
	portCount = 20000
)

// ports yields each port once, from a random one on, as other soaks may run on the machine.
var ports = struct {
	sync.Mutex
	next int
}{next: rand.IntN(portCount)}

// freeAddress returns a loopback address that nothing listens on; empty: there is none.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next)
		ports.next = (ports.next + 1) % portCount
		if isFree(address) {
			return address
		}
	}
	return ""
}

func isFree(address string) bool {
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer stream.Close()
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer datagrams.Close()
	return true
}

package listen

import (
	"math"
	"syscall"
)

// How the descriptors of a process are divided.
const (
	// reservedFDs are for files, and for connections to the store and other entries.
	reservedFDs = 400
	// fileFDs are for files, outgoingFDs for connections to the store and other entries.
	fileFDs     = 200
	outgoingFDs = 100
	// minCallers are accepted however few descriptors there are, minPeers of other entries.
	minCallers = 64
	minPeers   = 32
	// peerDivisor sets the part of the descriptors for which connections of other entries may be accepted.
	peerDivisor = 4
	// MaxProbes bounds the connections at an address that serves no requests of callers or peers.
	MaxProbes = 32
)

// Descriptors are the bounds of connections that others open to a process; 0: unlimited.
type Descriptors struct {
	// All bounds the descriptors of connections to all addresses, and of those to endpoints for their requests.
	All int
	// Callers and Peers bound the connections at these addresses.
	Callers, Peers int
}

// DivideDescriptors returns the bounds for a process that may open fds descriptors; 0: as many as its resource limit
// says.
func DivideDescriptors(fds int) Descriptors {
	if fds == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return Descriptors{}
		}
		fds = int(min(limit.Cur, math.MaxInt32))
	}
	return Descriptors{
		All:     max(2*minCallers+2*minPeers+2*MaxProbes, fds-fileFDs-outgoingFDs),
		Callers: max(minCallers, (fds-reservedFDs)/2),
		Peers:   max(minPeers, (fds-reservedFDs)/peerDivisor),
	}
}

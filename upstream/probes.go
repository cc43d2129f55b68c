package upstream

import (
	"errors"
	"syscall"

	"golang.org/x/sync/singleflight"
)

// Probes tells whether endpoints whose connections broke have ended. All that ask of one
// at the same time share a connection. The zero value is ready.
type Probes struct{ running singleflight.Group }

// Ended reports whether nothing listens at an address any more. An endpoint that only lost
// a connection accepts another; one that is cut off answers nothing, and may be well.
func (p *Probes) Ended(address string) bool {
	_, err, _ := p.running.Do(address, func() (any, error) { return nil, Check(address) })
	return errors.Is(err, syscall.ECONNREFUSED)
}

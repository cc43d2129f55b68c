package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is equal for requests that ask the same for the same customer, whichever
// attempt of the caller they are and whichever entry takes them.
type Fingerprint uint64

// Of returns the fingerprint of a request. A collision refuses a request that another
// one of the same service crashes endpoints.
func Of(customer, method, host, target string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{customer, method, host, target} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as in logs and keys of the store.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

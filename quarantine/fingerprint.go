package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is equal for identical requests of one customer, across the caller's retries
// and across entries.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. On a collision with a request that crashes
// endpoints, a harmless request is refused.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{customer, method, host, target} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as written in logs and store keys.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

package quarantine

import (
	"bytes"
	"testing"

	"github.com/jonboulle/clockwork"
)

func BenchmarkFingerprint(b *testing.B) {
	body := bytes.Repeat([]byte("twelve bytes"), 1000)
	for b.Loop() {
		Of("customer", "POST", "host.example", "/path", body)
	}
}

// BenchmarkCheck is what each send of a request costs, with as many suspects as a crash of
// a busy engine leaves.
func BenchmarkCheck(b *testing.B) {
	t := crashed(64)
	for b.Loop() {
		t.Check(1)
	}
}

// BenchmarkCrashed is what a crash costs for each request that was there.
func BenchmarkCrashed(b *testing.B) {
	t := crashed(mostSuspects - 1)
	n := 0
	for b.Loop() {
		n++
		t.Crashed(Fingerprint(n%mostSuspects), endpoint(n), Waiting)
	}
}

func crashed(suspects int) *Table {
	t := New(Deps{Clock: clockwork.NewFakeClock(), Log: quiet})
	for n := range suspects {
		t.Crashed(Fingerprint(n), endpoint(n), Waiting)
	}
	return t
}

package session

import (
	"bytes"
	"testing"
	"time"
)

func benchKeyring(b *testing.B) *Keyring {
	k, err := NewKeyring("k1", map[string][]byte{"k1": bytes.Repeat([]byte{1}, 32)})
	if err != nil {
		b.Fatal(err)
	}
	return k
}

// BenchmarkSign is the CPU cost of issuing one session token.
func BenchmarkSign(b *testing.B) {
	k, now := benchKeyring(b), time.Unix(1_800_000_000, 0)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		if _, err := k.Sign(Claims{Customer: "c", Session: "s", Versions: map[string]string{"m": "v1"}}, now); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkVerify is the CPU cost of verifying one session token.
func BenchmarkVerify(b *testing.B) {
	k, now := benchKeyring(b), time.Unix(1_800_000_000, 0)
	tok, _ := k.Sign(Claims{Customer: "c", Session: "s", Versions: map[string]string{"m": "v1"}}, now)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		if _, err := k.Verify(tok, now); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(tok)), "token-bytes")
}

package quarantine

import (
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against requests whose prompts have many parts and that take far more memory while they run than as sent.
func TestHoldsOfManyPartsTakeLittleMemory(t *testing.T) {
	const count, bytesPerPart = 100, 32
	table := New(Deps{Clock: clockwork.NewFakeClock()})
	holds := make([]*Hold, count)
	before := heapBytes()
	for i := range holds {
		s := Subject{Request: Fingerprint(i + 1), Parts: make([]Fingerprint, maxParts)}
		for j := range s.Parts {
			s.Parts[j] = Fingerprint(i*maxParts + j + 1000)
		}
		holds[i] = table.Hold(s, func() {})
	}
	if took := heapBytes() - before; took > count*maxParts*bytesPerPart {
		t.Errorf("%d holds of %d parts take %d bytes, %d a part", count, maxParts, took, took/(count*maxParts))
	}
	for _, h := range holds {
		h.Release()
	}
}

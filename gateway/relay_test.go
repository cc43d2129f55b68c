package gateway

import (
	"bufio"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// Guards against lines of a stream that are lost, joined or cut as they exceed the reader's buffer.
func TestLinesAreReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		for range rapid.IntRange(0, 6).Draw(t, "lines") {
			text.WriteString(strings.Repeat("ab\r", rapid.SampledFrom([]int{0, 1, 1365, 1366, 3000, 9000}).Draw(t, "size")))
			text.WriteString(rapid.SampledFrom([]string{"\n", "\r\n", "c\n", "cd\n", ""}).Draw(t, "end"))
		}
		want := bufio.NewScanner(strings.NewReader(text.String()))
		want.Buffer(nil, sseMaxLine)
		got := newLineReader(iotest.HalfReader(strings.NewReader(text.String())), nil)
		for want.Scan() {
			line, err := got.next()
			if err != nil || string(line) != want.Text() {
				t.Fatalf("got %d bytes, %v, want %d", len(line), err, len(want.Text()))
			}
		}
		if _, err := got.next(); err == nil {
			t.Fatal("a line more than there are")
		}
	})
}

package ingress

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/upstream"
)

// countingReader counts the bytes that are read.
type countingReader struct{ read int }

func (r *countingReader) Read(b []byte) (int, error) {
	r.read += len(b)
	return len(b), nil
}

// Guards against buffered answers that together exceed their part of the memory, and against reading an answer
// that has no room.
func TestBufferedAnswersShareTheirMemory(t *testing.T) {
	is := is.New(t)
	memory := membudget.New(4 << 20)
	a := answerBuffer{memory: memory}
	in := &countingReader{}
	is.NoErr(a.read(in, 2<<20))
	is.Equal(memory.Used(), int64(2<<20))

	b := answerBuffer{memory: memory}
	unread := &countingReader{}
	is.Equal(upstream.BoundOf(b.read(unread, 2<<20)), upstream.AnswersMemory) // three quarters are for long answers
	is.Equal(unread.read, 0)
	is.Equal(upstream.BoundOf(b.read(unread, maxAnswerBytes+1)), upstream.AnswerBytes)
	is.Equal(unread.read, 0)

	c := answerBuffer{memory: memory}
	is.Equal(upstream.BoundOf(c.read(&countingReader{}, -1)), upstream.AnswersMemory) // of unknown length
	is.True(memory.Used() <= 3<<20)
	d := answerBuffer{memory: memory}
	is.NoErr(d.read(&countingReader{}, shortAnswerBytes)) // nevertheless

	for _, buffer := range []*answerBuffer{&a, &b, &c, &d} {
		buffer.release()
	}
	is.Equal(memory.Used(), int64(0))
}

// Guards against answers that are cut short or lengthened as they are buffered.
func TestBufferedAnswersAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstAnswerBuffer, firstAnswerBuffer + 1, 1 << 20, maxAnswerBytes - 1, maxAnswerBytes} {
		is := is.New(t)
		want := bytes.Repeat([]byte("ab"), size/2+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			a := answerBuffer{memory: membudget.New(0)}
			is.NoErr(a.read(bytes.NewReader(want), length))
			is.True(bytes.Equal(a.bytes, want))
		}
	}
	is := is.New(t)
	a := answerBuffer{memory: membudget.New(0)}
	is.Equal(a.read(bytes.NewReader(make([]byte, 2)), 3), io.ErrUnexpectedEOF)
	b := answerBuffer{memory: membudget.New(0)}
	is.Equal(upstream.BoundOf(b.read(&countingReader{}, -1)), upstream.AnswerBytes)
}

// Guards against streams that lose bytes: empty lines and comments between events are forwarded, in order.
func TestAllBytesOfAStreamAreForwarded(t *testing.T) {
	is := is.New(t)
	const in = "\n\r\n:comment\n\nid: 1\ndata: a\n\n\n\ndata: b\r\n\r\n:\n\ndata: c\n\n\n"
	e := newEventReader(bytes.NewReader([]byte(in)), func([]byte) ([]byte, bool) { return nil, false })
	var out []byte
	for {
		event, _, err := e.next()
		if err != nil {
			is.Equal(err, io.EOF)
			break
		}
		out = append(out, event...)
	}
	is.Equal(string(out), in)
}

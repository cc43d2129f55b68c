package answerbuf

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/upstream"
)

const maxBytes = 8 << 20

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
	a := New(memory, maxBytes)
	in := &countingReader{}
	is.NoErr(a.Read(in, 2<<20))
	is.Equal(memory.Used(), int64(2<<20))

	b := New(memory, maxBytes)
	unread := &countingReader{}
	is.Equal(upstream.BoundOf(b.Read(unread, 2<<20)), upstream.AnswersMemory) // three quarters are for long answers
	is.Equal(unread.read, 0)
	is.Equal(upstream.BoundOf(b.Read(unread, maxBytes+1)), upstream.AnswerBytes)
	is.Equal(unread.read, 0)

	c := New(memory, maxBytes)
	is.Equal(upstream.BoundOf(c.Read(&countingReader{}, -1)), upstream.AnswersMemory) // of unknown length
	is.True(memory.Used() <= 3<<20)
	d := New(memory, maxBytes)
	is.NoErr(d.Read(&countingReader{}, shortBytes)) // nevertheless

	for _, buffer := range []*Buffer{&a, &b, &c, &d} {
		buffer.Release()
	}
	is.Equal(memory.Used(), int64(0))
}

// Guards against answers that are cut short or lengthened as they are buffered.
func TestBufferedAnswersAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer, firstBuffer + 1, 1 << 20, maxBytes - 1, maxBytes} {
		is := is.New(t)
		want := bytes.Repeat([]byte("ab"), size/2+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			a := New(membudget.New(0), maxBytes)
			is.NoErr(a.Read(bytes.NewReader(want), length))
			is.True(bytes.Equal(a.Bytes, want))
		}
	}
	is := is.New(t)
	a := New(membudget.New(0), maxBytes)
	is.Equal(a.Read(bytes.NewReader(make([]byte, 2)), 3), io.ErrUnexpectedEOF)
	b := New(membudget.New(0), maxBytes)
	is.Equal(upstream.BoundOf(b.Read(&countingReader{}, -1)), upstream.AnswerBytes)
}

// Guards against answers that are kept in pieces exceeding their bound or the memory, or keeping out short ones.
func TestAnswersInPiecesShareTheirMemory(t *testing.T) {
	is := is.New(t)
	memory := membudget.New(4 << 20)
	a, b := NewAccount(memory, 1<<20), NewAccount(memory, maxBytes)
	var err error
	pieces := 0
	for ; err == nil; pieces++ {
		err = a.Add(1 << 10)
	}
	is.Equal(upstream.BoundOf(err), upstream.AnswerBytes)
	is.Equal(pieces, 1<<10+1)
	for err = nil; err == nil; {
		err = b.Add(1 << 10)
	}
	is.Equal(upstream.BoundOf(err), upstream.AnswersMemory)
	is.True(memory.Used() <= 3<<20)
	a.Release()
	b.Release()
	is.Equal(memory.Used(), int64(0))
}

package answerbuf

import (
	"errors"
	"io"

	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// shortBytes is the size up to which answers may use all of the memory for answers. Longer ones
	// leave shortShare of it, so that answers without end do not keep out short ones.
	shortBytes = 64 << 10
	shortShare = 0.25
	// firstBuffer is the first buffer of an answer of unknown length.
	firstBuffer = 4 << 10
)

// Reserve takes n bytes of memory for an answer that has held bytes, which it is to give back, and reports whether there
// was room.
func Reserve(memory *membudget.Budget, n, held int64) bool {
	if n > shortBytes {
		return memory.ReserveWithin(n, held, 1-shortShare)
	}
	return memory.Reserve(n)
}

// Buffer holds an answer, or a part of it. Its memory is reserved before it is allocated.
type Buffer struct {
	Bytes  []byte
	memory *membudget.Budget
	max    int64
	held   int64
}

// New returns a buffer of at most max bytes, within memory; nil: unlimited.
func New(memory *membudget.Budget, max int64) Buffer { return Buffer{memory: memory, max: max} }

// Held returns how many bytes of memory the buffer has reserved.
func (b *Buffer) Held() int64 { return b.held }

// Grow makes room for size bytes in all.
func (b *Buffer) Grow(size int64) error {
	if size > b.max {
		return &upstream.BoundError{Bound: upstream.AnswerBytes}
	}
	if !Reserve(b.memory, size, b.held) {
		return &upstream.BoundError{Bound: upstream.AnswersMemory}
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.memory.Release(b.held)
	b.Bytes, b.held = grown, size
	return nil
}

// Release gives the memory back; the bytes must not be used afterwards.
func (b *Buffer) Release() {
	b.memory.Release(b.held)
	b.Bytes, b.held = nil, 0
}

// Read reads a whole body of a length; negative: unknown.
func (b *Buffer) Read(r io.Reader, length int64) error {
	if length >= 0 {
		if err := b.Grow(length); err != nil {
			return err
		}
		n, err := io.ReadFull(r, b.Bytes[:length])
		b.Bytes = b.Bytes[:n]
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		if int64(len(b.Bytes)) == b.max {
			return expectEnd(r)
		}
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.Grow(min(max(firstBuffer, 2*int64(cap(b.Bytes))), b.max)); err != nil {
				return err
			}
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// expectEnd returns nil if nothing follows in a body that fills its buffer.
func expectEnd(r io.Reader) error {
	switch _, err := io.ReadFull(r, make([]byte, 1)); {
	case err == nil:
		return &upstream.BoundError{Bound: upstream.AnswerBytes}
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

// Account counts the memory of an answer that is kept in pieces.
type Account struct {
	memory     *membudget.Budget
	max        int64
	used, held int64
}

// NewAccount returns an account of at most max bytes, within memory; nil: unlimited.
func NewAccount(memory *membudget.Budget, max int64) Account {
	return Account{memory: memory, max: max}
}

// Add reserves memory for n bytes more.
func (a *Account) Add(n int64) error {
	a.used += n
	if a.used <= a.held {
		return nil
	}
	if a.used > a.max {
		return &upstream.BoundError{Bound: upstream.AnswerBytes}
	}
	want := max(firstBuffer, a.used, min(2*a.held, a.max))
	if !Reserve(a.memory, want, a.held) {
		return &upstream.BoundError{Bound: upstream.AnswersMemory}
	}
	a.memory.Release(a.held)
	a.held = want
	return nil
}

// Release gives the memory back.
func (a *Account) Release() {
	a.memory.Release(a.held)
	a.used, a.held = 0, 0
}

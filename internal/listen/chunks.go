package listen

import "errors"

// errChunks: the chunks of a body are malformed.
var errChunks = errors.New("malformed chunks")

// maxChunkDigits bounds the digits of a chunk's size, as in net/http.
const maxChunkDigits = 16

type chunkState int

const (
	chunkSize chunkState = iota
	chunkPadding
	chunkExtension
	chunkSizeEnd // expects the line feed after the size
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart // at the begin of a trailer's line
	trailerLine
	trailerLineEnd // expects the line feed of a trailer's line
	trailerEnd     // expects the line feed after the trailers
)

// chunkScanner finds the end of a body in chunks. It accepts no more than net/http does, so that both find the
// same end. The zero value is at the begin of a body.
type chunkScanner struct {
	state  chunkState
	left   uint64 // bytes of the chunk
	digits int
	lines  int // of trailers
}

// scan reads bytes and returns how many of them belong to the body, and whether it ends with them.
func (s *chunkScanner) scan(b []byte) (n int, done bool, err error) {
	for n < len(b) {
		if s.state == chunkData {
			skip := min(s.left, uint64(len(b)-n))
			n += int(skip)
			if s.left -= skip; s.left == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		done, err = s.step(b[n])
		n++
		if done || err != nil {
			return n, done, err
		}
	}
	return n, false, nil
}

// step reads a byte outside of a chunk's data.
func (s *chunkScanner) step(c byte) (done bool, err error) {
	expect := func(want byte, next chunkState) error {
		if c != want {
			return errChunks
		}
		s.state = next
		return nil
	}
	switch s.state {
	case chunkSize:
		return false, s.sizeByte(c)
	case chunkPadding, chunkExtension:
		switch {
		case c == '\r':
			s.state = chunkSizeEnd
		case c == '\n' || s.state == chunkPadding && c != ' ' && c != '\t':
			return false, errChunks
		}
	case chunkSizeEnd:
		if s.left == 0 {
			return false, expect('\n', trailerStart)
		}
		return false, expect('\n', chunkData)
	case chunkDataCR:
		return false, expect('\r', chunkDataLF)
	case chunkDataLF:
		s.digits = 0
		return false, expect('\n', chunkSize)
	case trailerStart:
		switch c {
		case '\r':
			s.state = trailerEnd
		case '\n':
			return false, errChunks
		default:
			s.state = trailerLine
		}
	case trailerLine:
		switch c {
		case '\r':
			s.state = trailerLineEnd
		case '\n':
			return false, errChunks
		}
	case trailerLineEnd:
		s.lines++
		return false, expect('\n', trailerStart)
	case trailerEnd:
		return c == '\n', expect('\n', trailerEnd)
	}
	return false, nil
}

// sizeByte reads a byte of a chunk's size.
func (s *chunkScanner) sizeByte(c byte) error {
	var digit byte
	switch {
	case '0' <= c && c <= '9':
		digit = c - '0'
	case 'a' <= c && c <= 'f':
		digit = c - 'a' + 10
	case 'A' <= c && c <= 'F':
		digit = c - 'A' + 10
	case s.digits == 0:
		return errChunks
	case c == ';':
		s.state = chunkExtension
		return nil
	case c == ' ' || c == '\t':
		s.state = chunkPadding
		return nil
	case c == '\r':
		s.state = chunkSizeEnd
		return nil
	default:
		return errChunks
	}
	if s.digits == 0 {
		s.left = 0
	}
	if s.digits++; s.digits > maxChunkDigits {
		return errChunks
	}
	s.left = s.left<<4 | uint64(digit)
	return nil
}

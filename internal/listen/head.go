package listen

// Memory of a request in bytes, as measured for heads of the shortest lines and names.
const (
	// byteCost is for the bytes of a head, which are held once as sent and once as text for the endpoint.
	byteCost = 3
	// lineCost is for a line: while it is parsed, and as an entry of the header and of its copy for the endpoint.
	lineCost = 384
	// itemCost is for an item of a list within a line, such as a part of a prompt, the name of a trailer, or a
	// parameter of a query.
	itemCost = 128
)

// headScanner finds the end of a head as net/http does, and counts what the head will take up once it is parsed.
// The zero value is at the begin of a head.
type headScanner struct {
	bytes, lines, items int
	lineLength          int  // bytes of the current line
	onlyCR              bool // the current line is a carriage return so far
}

// scan reads bytes of a head and returns how many of them belong to it, and whether it ends with them.
func (s *headScanner) scan(b []byte) (n int, done bool) {
	for i, c := range b {
		switch c {
		case '\n':
			blank := s.lineLength == 0 || s.lineLength == 1 && s.onlyCR
			s.lineLength = 0
			if !blank {
				s.lines++
			} else if s.lines > 0 { // net/http skips empty lines before a request
				s.bytes += i + 1
				return i + 1, true
			}
			continue
		case ',', '&':
			s.items++
		}
		s.lineLength++
		s.onlyCR = c == '\r' && s.lineLength == 1
	}
	s.bytes += len(b)
	return len(b), false
}

// cost returns the memory that the head takes until its request has ended.
func (s *headScanner) cost() int64 {
	return byteCost*int64(s.bytes) + lineCost*int64(s.lines) + itemCost*int64(s.items)
}

package answertest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Kind is a kind of answer.
type Kind string

// Answers that are not valid HTTP/1.1.
const (
	StatusZero         Kind = "status_000"
	StatusLow          Kind = "status_099"
	StatusSigned       Kind = "status_+20"
	StatusHigh         Kind = "status_600"
	StatusSwitching    Kind = "status_101"          // which no request asked for, before an answer
	StatusControl      Kind = "status_control_byte" // in the reason phrase
	VersionTwo         Kind = "version_2.0"
	NameBlank          Kind = "name_blank"
	NameBlankAtEnd     Kind = "name_blank_at_end"
	LengthBlank        Kind = "length_blank"  // in the name of the field for the length
	ChunkedBlank       Kind = "chunked_blank" // in the name of the field for the chunks
	NameTab            Kind = "name_tab"
	NameControl        Kind = "name_control_byte"
	NameNUL            Kind = "name_nul"
	NameReturn         Kind = "name_carriage_return"
	NameEmpty          Kind = "name_empty"
	NameNotASCII       Kind = "name_not_ascii"
	NoColon            Kind = "no_colon"
	LeadingBlank       Kind = "leading_blank" // of a line, so that it continues the field before
	LeadingTab         Kind = "leading_tab"   // the same
	FirstLeadingBlank  Kind = "first_leading_blank"
	ValueControl       Kind = "value_control_byte"
	InformationalBlank Kind = "informational_name_blank" // in an informational response before the answer
	ChunkedInVersion10 Kind = "chunked_in_version_1.0"
)

// InvalidHeads are the kinds of answers whose heads are not valid.
var InvalidHeads = []Kind{StatusZero, StatusLow, StatusSigned, StatusHigh, StatusSwitching, StatusControl, VersionTwo, NameBlank, NameBlankAtEnd,
	LengthBlank, ChunkedBlank, NameTab, NameControl, NameNUL, NameReturn, NameEmpty, NameNotASCII, NoColon, LeadingBlank, LeadingTab,
	FirstLeadingBlank, ValueControl, InformationalBlank, ChunkedInVersion10}

// Valid answers that are unusual.
const (
	OddInformational Kind = "odd_informational" // several informational responses first
	OddNoReason      Kind = "odd_no_reason"     // a status line without a reason phrase
	OddVersion10     Kind = "odd_version_1.0"   // without a length
	OddNames         Kind = "odd_names"         // all bytes that names may have
	OddValues        Kind = "odd_values"        // empty, with tabs, not ASCII
	OddLineEnds      Kind = "odd_line_ends"     // lines without carriage returns
	OddSameLength    Kind = "odd_same_length"   // the length twice
	OddTrailer       Kind = "odd_trailer"       // chunks with a trailer
	// OddEarly has no length and comes before a long body is read. The endpoint ends it and reads on.
	OddEarly Kind = "odd_early"
	// OddEarlyClose is OddEarly of an endpoint that ends the answer and then closes the connection, so that what
	// comes of the body meets a reset.
	OddEarlyClose Kind = "odd_early_close"
)

// Odd are the kinds of unusual answers.
var Odd = []Kind{OddInformational, OddNoReason, OddVersion10, OddNames, OddValues, OddLineEnds, OddSameLength, OddTrailer, OddEarly, OddEarlyClose}

// EarlyReset has no length and comes before a long body is read. The endpoint resets the connection in the middle of it.
const EarlyReset Kind = "early_reset"

// Early reports whether the answer comes before the body of the request is read.
func (k Kind) Early() bool { return k == EarlyReset || k == OddEarly || k == OddEarlyClose }

// resetDelay is the time from an answer to the reset: the answer has been read, and the caller's writes wait for room.
const resetDelay = 10 * time.Millisecond

// chunked returns a body in chunks, with lines of a trailer.
func chunked(body, trailer string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// Text returns an answer with fields, each of which ends its line, and a body; empty: there is no such kind. Of
// EarlyReset it is the part that is sent, of the length given by part.
func Text(kind Kind, fields, body string, part int) string {
	const line = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := func(line, added string) string { return line + fields + added + length + "\r\n" + body }
	switch kind {
	case StatusZero:
		return whole("HTTP/1.1 000 OK\r\n", "")
	case StatusLow:
		return whole("HTTP/1.1 099 Low\r\n", "")
	case StatusSigned:
		return whole("HTTP/1.1 +20 OK\r\n", "")
	case StatusHigh:
		return whole("HTTP/1.1 600 High\r\n", "")
	case StatusSwitching:
		return "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole(line, "")
	case StatusControl:
		return whole("HTTP/1.1 200 O\x00K\r\n", "")
	case VersionTwo:
		return whole("HTTP/2.0 200 OK\r\n", "")
	case NameBlank:
		return whole(line, "X Note: 1\r\n")
	case NameBlankAtEnd:
		return whole(line, "X-Note : 1\r\n")
	case LengthBlank:
		return line + fields + fmt.Sprintf("Content-Length : %d\r\n\r\n%sbytes after the answer", len(body), body)
	case ChunkedBlank:
		return line + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunked(body, "")
	case NameTab:
		return whole(line, "X\tNote: 1\r\n")
	case NameControl:
		return whole(line, "X\x01Note: 1\r\n")
	case NameNUL:
		return whole(line, "X\x00Note: 1\r\n")
	case NameReturn:
		return whole(line, "X\rNote: 1\r\n")
	case NameEmpty:
		return whole(line, ": 1\r\n")
	case NameNotASCII:
		return whole(line, "X-N\xc3\xb6te: 1\r\n")
	case NoColon:
		return whole(line, "X-Note\r\n")
	case LeadingBlank:
		return whole(line, " X-Note: 1\r\n")
	case LeadingTab:
		return whole(line, "\tX-Note: 1\r\n")
	case FirstLeadingBlank:
		return whole(line+" X-Note: 1\r\n", "")
	case ValueControl:
		return whole(line, "X-Note: a\x01b\r\n")
	case InformationalBlank:
		return "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n" + whole(line, "")
	case ChunkedInVersion10:
		return "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, "")
	case OddInformational:
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole(line, "")
	case OddNoReason:
		return whole("HTTP/1.1 200 \r\n", "")
	case OddVersion10:
		return "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body
	case OddNames:
		return whole(line, "x!#$%&'*+-.^_`|~9: 1\r\n")
	case OddValues:
		return whole(line, "X-Empty:\r\nX-Tab: a\tb \r\nX-Note: \xc3\xb6:\x80\r\n")
	case OddLineEnds:
		return strings.ReplaceAll(line+fields+length, "\r\n", "\n") + "\n" + body
	case OddSameLength:
		return whole(line, length)
	case OddTrailer:
		return line + fields + "Transfer-Encoding: chunked\r\nTrailer: X-Note\r\n\r\n" + chunked(body, "X-Note: 1\r\n")
	case OddEarly, OddEarlyClose:
		return line + fields + "\r\n" + body
	case EarlyReset:
		return line + fields + "\r\n" + body[:part]
	}
	return ""
}

// Serve writes an answer of a kind to a connection and closes it. request is what is still to be read of the
// request's body, which has length bytes.
func Serve(conn net.Conn, kind Kind, text string, request io.Reader, length int64) {
	defer func() { _ = conn.Close() }()
	if kind == OddEarlyClose { // closing a connection with unread bytes resets it
		_, _ = io.CopyN(io.Discard, request, length/2)
	}
	if _, err := io.WriteString(conn, text); err != nil || !kind.Early() {
		return
	}
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !ok:
	case kind == EarlyReset:
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	case kind == OddEarlyClose:
		_ = tcp.CloseWrite()
		time.Sleep(resetDelay)
	default:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, request)
	}
}

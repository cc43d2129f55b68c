package upstream

import (
	"errors"
	"strings"
)

// Defect names why an answer is not valid HTTP/1.
type Defect string

// Defects of answers.
const (
	StatusLine Defect = "status_line"
	// StatusCode: it is not one of 100 to 599, or switches protocols, which no request asks for.
	StatusCode Defect = "status_code"
	FieldName  Defect = "field_name"
	FieldValue Defect = "field_value"
	// FoldedLine: a line continues the field before, which HTTP/1.1 does not allow endpoints to send.
	FoldedLine Defect = "folded_line"
	// OldChunks: HTTP/1.0 has no chunks.
	OldChunks Defect = "chunks_in_http_1.0"
	// Unrequested: it came before the request, or behind the answer to another one.
	Unrequested Defect = "unrequested"
)

// InvalidError reports that an answer is not valid HTTP/1. Nothing of it may be used.
type InvalidError struct{ Defect Defect }

func (e *InvalidError) Error() string { return "answer is not valid: " + string(e.Defect) }

// DefectOf returns the defect that an error reports; empty: none.
func DefectOf(err error) Defect {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Defect
	}
	return ""
}

// linePart is where in a line of a head the scanner is.
type linePart int

const (
	inStatus linePart = iota // up to the status code
	afterCode
	inReason
	atField // the first byte of a line after the status line
	inName
	inValue
)

// Forms of a status line up to the code; 0 stands for a digit.
const (
	statusForm   = "HTTP/1.0 000"
	minorVersion = len("HTTP/1.")
	firstDigit   = len("HTTP/1.0 ")
)

// headScanner checks the heads of an answer, informational ones included, as they are read. net/http accepts more than
// HTTP/1.1 allows: names with blanks, which it drops or leaves uninterpreted, and statuses that nobody can be sent. The
// zero value expects a head.
type headScanner struct {
	part   linePart
	status [len(statusForm)]byte
	read   int    // bytes of the status line's form, or of the field's name
	name   []byte // of the field, in HTTP/1.0
	cr     bool   // the byte before was a carriage return
	ended  bool   // what follows is the body
}

// scan checks the bytes that are read next, up to the end of the head. It returns how many of them are valid parts of the
// head.
func (s *headScanner) scan(b []byte) (int, error) {
	for i, c := range b {
		if s.ended {
			return i, nil
		}
		if defect := s.next(c); defect != "" {
			return i, &InvalidError{defect}
		}
	}
	return len(b), nil
}

// begun reports whether a byte of the head was read.
func (s *headScanner) begun() bool { return s.part != inStatus || s.read > 0 }

// next checks one byte. A line ends with a line feed, which a carriage return may precede.
func (s *headScanner) next(c byte) Defect {
	if s.cr && c != '\n' {
		return s.defect()
	}
	s.cr = c == '\r'
	switch {
	case s.cr:
		return ""
	case c == '\n':
		return s.endLine()
	case s.part == inStatus:
		return s.nextOfStatus(c)
	case s.part == afterCode && c != ' ':
		return StatusCode
	case s.part == afterCode:
		s.part = inReason
		return ""
	case s.part == atField && (c == ' ' || c == '\t'):
		return FoldedLine
	case s.part == atField:
		s.part, s.read, s.name = inName, 0, s.name[:0]
	}
	switch {
	case s.part == inName && c == ':':
		return s.endName()
	case s.part == inName && isTokenByte(c):
		s.noteName(c)
		return ""
	case s.part != inName && isTextByte(c):
		return ""
	}
	return s.defect()
}

// defect returns what an unexpected byte makes invalid.
func (s *headScanner) defect() Defect {
	switch s.part {
	case atField, inName:
		return FieldName
	case inValue:
		return FieldValue
	}
	return StatusLine
}

func (s *headScanner) nextOfStatus(c byte) Defect {
	want := statusForm[s.read]
	isDigit := '0' <= c && c <= '9'
	switch {
	case want == '0' && isDigit, want != '0' && c == want:
	case s.read >= firstDigit:
		return StatusCode
	default:
		return StatusLine
	}
	s.status[s.read] = c
	if s.read++; s.read < len(statusForm) {
		return ""
	}
	s.part = afterCode
	code := string(s.status[firstDigit:])
	if code < "100" || code > "599" || code == "101" {
		return StatusCode
	}
	return ""
}

// noteName counts the bytes of a field's name, and keeps it if it matters which one it is.
func (s *headScanner) noteName(c byte) {
	s.read++
	if s.status[minorVersion] == '0' && len(s.name) <= len(transferEncoding) {
		s.name = append(s.name, c)
	}
}

const transferEncoding = "Transfer-Encoding"

func (s *headScanner) endName() Defect {
	if s.read == 0 {
		return FieldName
	}
	if strings.EqualFold(string(s.name), transferEncoding) {
		return OldChunks
	}
	s.part = inValue
	return ""
}

func (s *headScanner) endLine() Defect {
	switch s.part {
	case inStatus, inName:
		return s.defect()
	case atField:
		informational := s.status[firstDigit] == '1'
		*s = headScanner{ended: !informational}
		return ""
	}
	s.part = atField
	return ""
}

// isTokenByte reports whether a name may have a byte.
func isTokenByte(c byte) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isTextByte reports whether a value or a reason phrase may have a byte.
func isTextByte(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }

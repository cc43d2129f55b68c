package egress

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
)

// Guards against a request with a long id that gets no tunnel: other entries read heads of 16 KiB.
func TestThePurposeOfAConnectionFitsAHead(t *testing.T) {
	is := is.New(t)
	p := Purpose{Request: strings.Repeat("x", 15<<10), Lasts: time.Minute, Variant: 1, Subject: quarantine.Subject{Request: 1 << 63, Parts: make([]quarantine.Fingerprint, 1024)}}
	for i := range p.Subject.Parts {
		p.Subject.Parts[i] = 1 << 63
	}
	var raw bytes.Buffer
	is.NoErr(p.header("entry", fleet.Endpoint{Service: "svc"}, time.Second).Write(&raw))
	is.True(raw.Len() < 12<<10)
}

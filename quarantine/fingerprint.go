package quarantine

import (
	"log/slog"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a whole request, across the caller's retries and across entries, or a
// part of a prompt, across the requests that contain it.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: equal for identical requests of one customer.
// On a collision with a request that crashes endpoints, a harmless request is refused.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{customer, method, host, target} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// maxParts bounds the prompt parts of a request that are considered.
const maxParts = 1024

// PartFingerprints returns the fingerprints of the parts of a prompt at a service, by their ids.
func PartFingerprints(service string, ids []string) []Fingerprint {
	ids = ids[:min(len(ids), maxParts)]
	out := make([]Fingerprint, 0, len(ids))
	for _, id := range ids {
		out = append(out, Fingerprint(hash("part", service, id)))
	}
	return out
}

func hash(words ...string) uint64 {
	d := xxhash.New()
	for _, w := range words {
		_, _ = d.WriteString(w) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Variant identifies what answers a request at an endpoint. A part that one variant answers may
// crash another.
type Variant uint32

// VariantOf returns the variant of a model, "" if the request names none, and a software version.
func VariantOf(model, version string) Variant { return Variant(hash(model, version)) }

// Subject is a request as the table knows it.
type Subject struct {
	// Request is the fingerprint of the whole request.
	Request Fingerprint
	// Parts are those of its prompt, without the last part, which no other request has.
	Parts []Fingerprint
}

// has reports whether the subject contains all of some fingerprints.
func (s Subject) has(all []Fingerprint) bool {
	for _, f := range all {
		if f != s.Request && !s.hasPart(f) {
			return false
		}
	}
	return true
}

func (s Subject) hasPart(f Fingerprint) bool {
	for _, part := range s.Parts {
		if part == f {
			return true
		}
	}
	return false
}

// maxEncodedParts bounds the parts in an encoded subject, which has to fit into a header.
const maxEncodedParts = 512

// Encode returns the request and the first parts for a message to another entry; ParseSubject reads it.
func (s Subject) Encode() string {
	return joined(append([]Fingerprint{s.Request}, s.Parts[:min(len(s.Parts), maxEncodedParts)]...))
}

// ParseSubject reads the result of Subject.Encode.
func ParseSubject(encoded string) (Subject, error) {
	var s Subject
	for i, word := range strings.Split(encoded, ",") {
		if i > maxEncodedParts {
			break
		}
		f, err := strconv.ParseUint(word, 16, 64)
		if err != nil {
			return Subject{}, err
		}
		if i == 0 {
			s.Request = Fingerprint(f)
			continue
		}
		s.Parts = append(s.Parts, Fingerprint(f))
	}
	return s, nil
}

// String returns the fingerprint as written in logs and store keys.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// LogValue implements slog.LogValuer.
func (f Fingerprint) LogValue() slog.Value { return slog.StringValue(f.String()) }

// maxLoggedParts bounds the parts of a request in a log line.
const maxLoggedParts = 8

// PartsString returns the first parts as written in logs.
func (s Subject) PartsString() string { return joined(s.Parts[:min(len(s.Parts), maxLoggedParts)]) }

func joined(fingerprints []Fingerprint) string {
	words := make([]string, len(fingerprints))
	for i, f := range fingerprints {
		words[i] = f.String()
	}
	return strings.Join(words, ",")
}

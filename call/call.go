// Package call defines the metadata of a request and of its responses,
// independent of how they are encoded on the wire.
package call

import (
	"net/http"
	"time"
)

// Usage is the size of a request in tokens: its prompt, and the most that it
// may generate.
type Usage struct {
	Prompt int
	Output int
}

// PromptPart is one segment of a prompt. Segments with equal ids have equal text.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestMetadata is the metadata that a caller sends with its request.
type RequestMetadata struct {
	// ID identifies this attempt of the caller.
	ID string
	// Remaining is the time left until the caller's deadline; 0: none given.
	Remaining time.Duration
	// Key is the API key.
	Key string
	// Model is the requested model; with AnyModel the entry chooses one.
	Model   string
	Usage   Usage
	Prompt  []PromptPart
	Session string
	// ResumeAfter is the id of the last stream event that the caller received;
	// empty: the stream starts from the beginning.
	ResumeAfter string
	// LengthHint is the caller's estimate of the generated tokens; 0: none.
	LengthHint int
}

// maxLoggedValue bounds a value of a caller in a log line, in bytes.
const maxLoggedValue = 128

// Clip bounds a value of a caller for a log line.
func Clip(s string) string { return s[:min(len(s), maxLoggedValue)] }

// AnyModel as the requested model lets the entry choose.
const AnyModel = "*"

// SharedPrompt returns the prompt without its last part, which is specific to
// the request.
func (m *RequestMetadata) SharedPrompt() []PromptPart {
	if len(m.Prompt) == 0 {
		return nil
	}
	return m.Prompt[:len(m.Prompt)-1]
}

// SharedTokens returns the number of tokens in the shared prompt.
func (m *RequestMetadata) SharedTokens() int {
	n := 0
	for _, p := range m.SharedPrompt() {
		n += p.Tokens
	}
	return n
}

// ForwardOptions is the metadata that an entry adds to a request for an endpoint.
type ForwardOptions struct {
	Endpoint  string // the only incarnation that may run the request
	Remaining time.Duration
	Customer  string
	Model     string // replaces AnyModel; empty: the model that the caller sent
	// ResumeAfter has the meaning of RequestMetadata.ResumeAfter.
	ResumeAfter string
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	// SetUrgency reports whether Urgency is sent.
	SetUrgency bool
}

// Load is the load that an endpoint reports.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes at the endpoint now, in percent of the usual; 0: not reported.
	SlowdownPercent int
}

// ResponseMetadata is the metadata in the head of an endpoint's response.
type ResponseMetadata struct {
	Status int
	// NotRun: the endpoint did not run the request and will not.
	NotRun bool
	// WrongEndpoint: another incarnation serves at the address.
	WrongEndpoint bool
	// Sealed: the response carries the endpoint's seal. A success without it
	// is not accepted.
	Sealed bool
	// ID is the id of the attempt that is answered; empty: not given.
	ID string
	// Load is nil if the endpoint does not report it.
	Load *Load
	// Leaving: the endpoint is shutting down and wants no further requests.
	Leaving bool
	// Limit is how many requests a second the endpoint accepts from all entries
	// together; 0: unlimited.
	Limit float64
	// Brittle is how many requests a second the endpoint can turn away without falling over; 0: any
	// number.
	Brittle int
	// Rest is how long the endpoint, which turned the request away, wants no further ones from this
	// entry; 0: it does not say.
	Rest time.Duration
	// Confidence is the model's own rating of its answer, 0 to 100; -1: not
	// given.
	Confidence int
}

// Success reports whether the status is 2xx.
func (m *ResponseMetadata) Success() bool { return m.Status/100 == 2 }

// HeaderCodec decodes and encodes the headers of requests and responses; the
// platform's adapter implements it.
type HeaderCodec interface {
	// Request decodes the headers of a caller's request.
	Request(h http.Header) RequestMetadata
	// Forward returns the headers to send to an endpoint.
	Forward(from http.Header, o ForwardOptions) http.Header
	// Handoff returns the headers to send to another entry that is to answer the request in place of this one.
	Handoff(from http.Header, remaining time.Duration) http.Header
	// Answer decodes the status and headers of an endpoint's response.
	Answer(status int, h http.Header) ResponseMetadata
	// Returned returns the headers to send to the caller.
	Returned(from http.Header) http.Header
	// RetryAfter sets the header that tells a caller when to retry.
	RetryAfter(h http.Header, after time.Duration)
	// EventID extracts the id from a line of a stream event.
	EventID(line []byte) (id []byte, ok bool)
}

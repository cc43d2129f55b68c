// Package call holds what an entry knows of one request and of its answers,
// whatever they look like on the wire.
package call

import (
	"net/http"
	"time"
)

// Usage is how many tokens a request reads and at most generates.
type Usage struct {
	Prompt int
	Output int
}

// PromptPart is one part of a prompt, in order; equal ids are equal text.
type PromptPart struct {
	ID     string
	Tokens int
}

// Facts are what a caller says of its request.
type Facts struct {
	// ID names this attempt of the caller.
	ID string
	// Remaining is how long the caller waits from now; zero: it did not say.
	Remaining time.Duration
	// Key is the API key.
	Key string
	// Model is the model asked for; AnyModel leaves the choice to us.
	Model   string
	Usage   Usage
	Prompt  []PromptPart
	Session string
	// ResumeAfter is the id of the last event that the caller has of its
	// stream; empty: it wants the stream from the start.
	ResumeAfter string
	// LengthHint is the caller's guess of the tokens generated; 0: none.
	LengthHint int
}

// AnyModel as a request's model lets the system choose.
const AnyModel = "*"

// SharedPrompt is the prompt without its last part, which is the request's
// own.
func (f *Facts) SharedPrompt() []PromptPart {
	if len(f.Prompt) == 0 {
		return nil
	}
	return f.Prompt[:len(f.Prompt)-1]
}

// SharedTokens is how many tokens the shared prompt has.
func (f *Facts) SharedTokens() int {
	n := 0
	for _, p := range f.SharedPrompt() {
		n += p.Tokens
	}
	return n
}

// Directions are what an entry tells an endpoint with a request.
type Directions struct {
	Endpoint  string // the incarnation that may run it
	Remaining time.Duration
	Customer  string
	Model     string // instead of AnyModel; empty: as the caller sent it
	// ResumeAfter as in Facts.
	ResumeAfter string
	// Urgency is from 0, the first, to 9.
	Urgency int
	// SetUrgency is set where Urgency is to be told.
	SetUrgency bool
}

// Load is an endpoint's load as it told it.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	Status int
	// NotRun: the endpoint says that it did not run the request and will not.
	NotRun bool
	// WrongEndpoint: another incarnation has the address.
	WrongEndpoint bool
	// Sealed: the endpoint vouches for the answer; without it no success
	// counts.
	Sealed bool
	// ID is the attempt that is answered; empty: it is not said.
	ID string
	// Load is nil where it is not said.
	Load *Load
	// Leaving: the endpoint takes no further request on the connection.
	Leaving bool
	// Limit is how many requests a second the endpoint takes from all entries together;
	// 0: it names no limit.
	Limit float64
	// Confidence is the model's own opinion of its answer, 0 to 100; -1: not
	// said.
	Confidence int
}

// Success reports whether the request was answered with a 2xx.
func (a *Answer) Success() bool { return a.Status/100 == 2 }

// Wire reads and writes the headers of requests and answers; the platform's
// adapter implements it.
type Wire interface {
	// Request reads what a caller says.
	Request(h http.Header) Facts
	// Forward returns the headers to send to an endpoint.
	Forward(from http.Header, d Directions) http.Header
	// Answer reads what an endpoint says.
	Answer(status int, h http.Header) Answer
	// Returned returns the headers to give to the caller.
	Returned(from http.Header) http.Header
	// RetryAfter tells a caller when to come back.
	RetryAfter(h http.Header, after time.Duration)
	// EventID reads the id from a line of an event of a stream.
	EventID(line []byte) (id []byte, ok bool)
}

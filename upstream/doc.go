// Package upstream calls endpoints over HTTP/1.1, one connection a call.
//
// A kept connection would save its opening, about a millisecond, and cost
// certainty: an endpoint may close it as a request is on its way, when nobody
// can tell whether that ran; and what a broken endpoint sends after an answer
// (a second answer, stray bytes) would be read as the next one's. On a
// connection of its own neither can happen, closing it ends the endpoint's
// work, and nothing is sent twice by a transport that means well.
package upstream

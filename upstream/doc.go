// Package upstream calls endpoints over HTTP/1.1, with a new connection for each
// call.
//
// Reusing connections would save about a millisecond a call, but an endpoint may
// close an idle connection while a request is on its way, and then it is unknown
// whether the request ran. Bytes that a faulty endpoint sends after a response (a
// second response, stray bytes) would also be read as part of the next one. With
// one connection a call neither can happen, closing the connection ends the
// endpoint's work, and no transport retries a request on its own.
package upstream

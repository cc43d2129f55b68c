// Package agent assembles an entry process with fx: agent.go has the
// constructors, loops.go the background loops, serve.go the HTTP servers and
// stop.go the planned stop. A planned stop reports not ready and refuses new
// requests, waits for requests in flight (up to the drain timeout), closes the
// listeners, and only then stops the loops, so that the last billing records are
// written.
package agent

// Package control registers the HTTP handlers that the stand-ins share: state
// as JSON (GET /debug/state) and fault injection (PUT /fault).
package control

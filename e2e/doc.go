// Package e2e holds tests that build the two binaries and run the stand-ins
// and entry instances as separate processes on loopback.
package e2e

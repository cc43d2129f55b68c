// Package e2e contains end-to-end tests. They build both binaries and run the
// stand-ins and entries as separate processes on loopback.
package e2e

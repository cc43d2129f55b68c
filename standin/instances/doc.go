// Package instances simulates the platform's list of live and leaving
// instances. A change is served only after a configured lag.
package instances

// Package weights simulates the platform's rate-limited weight store, from
// which engines fetch a version before they load it.
package weights

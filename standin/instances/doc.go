// Package instances is the stand-in for the platform's list of instances,
// live and leaving. It lags: a change is served only Lag later.
package instances

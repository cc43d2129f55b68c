// Package service is the stand-in for a plain service beside the engines: a
// booking or intake app whose calls (a tenant reminder, a pallet posting)
// may not be repeated. It records every execution, so that tests and
// operators can count them.
package service

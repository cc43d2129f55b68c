// Package soak injects random faults into real processes on one machine and
// checks, from what callers and endpoints observe, that the guarantees hold.
//
// Entries, the store stand-in and engine stand-ins run as separate processes,
// connected through loopback proxies that delay, reset, silence or cut one
// direction. Processes are paused, killed, stopped and restarted, while the
// configuration changes and versions are rolled out. Faults are drawn from a
// seed, follow one another and overlap. Only processes that the soak has started
// are signalled, by their ids.
//
// The checks hold whatever the timing: a response is complete and belongs to its
// request; a non-idempotent request runs at most once; a request refused as not
// run has not run; a stream has no gap and no duplicate; an entry's configuration
// never reverts; each request ends within its deadline; a planned stop of an
// entry loses no response of a request that the entry has accepted.
package soak

// Package soak plays random faults against real processes on one machine and
// checks, from what callers and endpoints see, that the promises hold.
//
// Entries, the store's stand-in and engine stand-ins run as processes of
// their own. Between them stand loopback proxies that delay, reset, silence
// or cut one way; processes are paused, killed, stopped and started again;
// the configuration changes and versions are rolled out meanwhile. Faults come
// in series and overlap, drawn from a seed. Only processes that a soak has
// started are ended, by their ids.
//
// Checked is what holds whatever the timing: an answer is whole and its own
// request's; what may not repeat runs once; what was refused as not run has
// not run; a stream has no hole and nothing twice; an entry's configuration
// never goes back; each request ends within its deadline; a planned stop of an
// entry costs no request that it has taken its answer.
package soak

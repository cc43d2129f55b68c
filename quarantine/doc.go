// Package quarantine keeps requests that crash the endpoints that run them away from
// all endpoints.
//
// When an endpoint crashes, all requests that were there break off, and any of them may
// be the cause. An entry notes the crash against each of its own, by what is asked and
// by whom: a caller's next attempt has another id. Entries tell each other. A request
// that was at enough crashes which no other request explains is guilty, and is refused
// by all entries before it reaches an endpoint. Guilty requests are recorded in the
// store, so that entries that start later know them, and lapse after a while: what
// crashed may have been mended.
//
// A request that was answered is not guilty, however often it was there.
package quarantine

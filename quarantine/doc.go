// Package quarantine keeps requests that crash the endpoints that run them away from
// all endpoints.
//
// A crash counts against every request that was in flight at the endpoint, and entries
// share what they observe. A request that was in flight at enough crashes that no other
// request explains is quarantined: no entry sends it until its record in the store expires. A
// request that was answered is never quarantined.
package quarantine

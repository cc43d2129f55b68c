// Package quarantine keeps requests that crash the endpoints that run them away from
// all endpoints.
//
// A crash is noted against every request that was at the endpoint, and entries tell each
// other. A request that was at enough crashes which no other explains is guilty: no entry
// sends it until its record in the store lapses. One that was answered never is.
package quarantine

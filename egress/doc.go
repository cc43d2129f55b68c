// Package egress opens an entry's connections to endpoints, directly or, while the entry's own link
// to a service is down, through another entry (a tunnel of one hop, by HTTP CONNECT).
//
// Tunnels carry bytes only: limits, budgets and records stay with the entry that the caller chose.
// Whatever fails before a connection is established, the endpoint has received nothing.
//
// Locks are leaves: none is held while another is acquired, or across a network call.
package egress

// Package egress opens an entry's connections to endpoints.
//
// While an entry's own link to the endpoints of a service is down, it connects through
// another entry that reaches them. The tunnel carries bytes only: the request, its
// limits, budgets and records stay with the entry that its caller sent it to, and every
// way to an endpoint (first sends, retries, resumed streams, copies, checks) is covered
// alike. A tunnel has one hop. Whatever fails before a connection is established, the
// endpoint has received nothing.
//
// A link counts as down once several endpoints in a row accepted no direct connection, and
// as up again once one does. Probes in the background look for that, so that no
// request has to.
//
// Locks are leaves: none is held while another is acquired, or across a network call.
package egress

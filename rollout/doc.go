// Package rollout moves a service's traffic to a new version and back when
// the version is bad. There is no leader: the order, and what is recorded of
// it, lie in the platform's store; each entry acts by how old the order is
// and by the evidence of all entries, and records a state only under the
// condition that nothing else was recorded meanwhile. An entry that is
// killed, frozen or cut off at any step leaves nothing half done.
//
// A good version goes through: a small share of requests, drawn from all routes, on a
// few of the new endpoints, so that these see as much load as all would; half for a
// moment; all requests; done.
// A bad one is halted on the entry that knows first, on the others as they
// hear of it, and recorded as rolled back.
package rollout

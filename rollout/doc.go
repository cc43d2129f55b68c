// Package rollout moves a service's traffic to a new version, and back if the version is
// bad. There is no leader: the order and its recorded state are kept in the platform's
// store. Each entry acts on the age of the order and the evidence of all entries, and
// records a state with a conditional write that fails if another state was recorded
// meanwhile. An entry that is killed, frozen or partitioned at any step therefore leaves no
// partial state.
//
// A good version passes through these stages: a canary share of requests, drawn from all
// routes and sent to a few of the new endpoints, so that their load equals that of
// endpoints under full traffic; half of the requests for a short time; all requests; done.
// A bad version is halted first on the entry that detects it, then on the others as they
// are notified, and is recorded as rolled back.
package rollout

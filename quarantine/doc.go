// Package quarantine keeps requests that crash the endpoints that run them away from
// all endpoints.
//
// What crashes an endpoint may be a whole request, which its caller repeats, or a part of its
// prompt, which other requests contain too. A crash is evidence against every request that was
// in flight at the endpoint and against the parts of their prompts; entries share what they
// observe. A request or part that was at enough crashes that nothing else explains is
// quarantined: no entry sends it until its record in the store expires.
//
// What tells a part that crashes endpoints from those beside it is that no endpoint answers it: an
// answer clears the request and the parts of its prompt of all crashes before it began, at all
// entries, for the same model and version. What was answered before may begin to crash endpoints,
// and needs more evidence.
//
// Where nobody can tell a crash from a lost link, a broken answer is kept until another entry has
// seen the crash or another incarnation has the endpoint's address.
//
// Parts with the same evidence are quarantined together: only requests with all of them are
// refused, so that others show which of the parts it is.
package quarantine

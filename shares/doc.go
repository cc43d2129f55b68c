// Package shares tells, for each request, whether its service is short of capacity for requests of its urgency, and
// whether the request is in excess of its customer's share.
//
// Shortage follows from the delays of first events: engines serve waiting requests by urgency, so that the delay differs
// by urgency, and a mean over all would count the wait of less urgent requests against urgent ones. Shares follow from
// the engine time that customers asked for recently and usually. Each entry adds up what it has seen and what other
// entries told it within the last seconds; there is no owner of a share and nothing to take back from an entry that dies.
//
// A request in excess is served after all others and gets no larger model while its service is short of capacity. It is
// never shut out.
package shares

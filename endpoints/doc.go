// Package endpoints tracks the state of back ends as one entry sees it:
// requests in flight, last reported load, draining and recent failures. Table
// feeds the routing decision. Poller fills it from the engines' load reports
// and the platform's instance list; each entry polls only its share and learns
// the rest from its peers, so that an engine is polled once per PollInterval
// whatever the number of entries.
package endpoints

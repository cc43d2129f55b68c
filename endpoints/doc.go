// Package endpoints is an entry's view of the back ends: what it has in
// flight on each, what each last reported, which are leaving and which
// failed lately. The table feeds the routing decision; the pollers fill it
// from the engines' load reports and the platform's instance list, each
// entry asking only for its share and learning the rest from its peers, so
// that an engine is asked once a second whatever the number of entries.
package endpoints

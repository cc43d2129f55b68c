// Package agent joins the parts of an entry instance with fx: agent.go says
// what it is made of, loops.go what runs in the background, serve.go what is
// served and how a planned stop goes. It turns readiness false and refuses
// new work, waits for requests in flight (up to the drain timeout), closes
// the listeners, and only then stops the loops, so that the last bills are
// written.
package agent

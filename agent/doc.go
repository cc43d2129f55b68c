// Package agent wires an entry instance together with fx: settings, logger,
// metrics, the KV client, the configuration watcher, the gateway and the
// HTTP server, and orders start and graceful stop. On stop it first turns
// readiness false and refuses new work, then waits for requests in flight
// (up to the drain timeout), then closes the listener.
package agent

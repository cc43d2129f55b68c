// Package drain implements the graceful shutdown of a process that serves
// requests.
//
// An admitted request is answered before the process exits; one that cannot be
// answered in time is refused immediately, as not run. Requests pass through a
// Gate, which counts them, tracks the time that is left and cancels those that
// exceed it. Gate.Drain runs the stages of the shutdown.
//
// Senders do not learn of a shutdown immediately: a load balancer polls
// readiness periodically, and still uses instances that are not ready where too
// few others are. Requests therefore arrive until the process exits, on
// kept-alive and on new connections.
package drain

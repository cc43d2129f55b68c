// Package drain is the planned stop of a process that serves requests.
//
// What it promises: a request that is taken gets its answer before the process
// ends, and one that cannot have it in time is refused at once, as not run.
// Requests go through a Gate, which counts them, knows how much of the stop is
// left and ends at last what has outlasted it. Drain goes through the stop's
// stages.
//
// Who sends requests does not know of a stop at once: a balancer looks every so
// often, and uses instances that say they are not ready where too few others
// are left. So requests come until the process is gone, on connections that
// callers keep and on new ones.
package drain

// Package orders brings the engines of a failure domain to the versions that
// the configuration gives them: one entry of the domain holds the duty,
// compares what engines report with what is configured, and orders the
// others to load.
//
// Engines that check fencing numbers refuse the order of an entry that lost
// the duty; for those that do not, an old order may still arrive after a
// newer one. The next report then shows the wrong version and the holder
// orders again. Requests are safe meanwhile: an engine is called by
// model@version and refuses what it has not loaded.
package orders

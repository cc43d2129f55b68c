// Package orders brings the engines of a failure domain to their configured
// versions. One entry of the domain holds the duty, compares the versions that the
// engines report with the configuration, and orders engines that differ to load.
//
// Engines that check fencing tokens refuse the order of an entry that lost the duty.
// At other engines an old order may arrive after a newer one; the engine's next
// report then shows the wrong version and the holder repeats the order. Requests
// are safe meanwhile: an engine is called by model@version and refuses what it has
// not loaded.
package orders

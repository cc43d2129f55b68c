// Package configwatch keeps an entry's configuration current: it watches the
// live keys of the platform KV, or learns from peers that do, and swaps in a
// whole compiled route.Table only when its revision is newer than the one in
// force. Revisions never go back, so a late or repeated answer, from the KV
// or a peer, cannot revert an accepted configuration. While the KV is down
// the last good table stays in force.
//
// It also knows how long ago the table was known to be current (Age), which
// is how an entry notices that it was paused or cut off (Refresh).
package configwatch

// Package configwatch keeps an entry's configuration current: it reads the
// configuration key from the platform KV, long-polls for changes, and swaps
// in a whole compiled route.Table only when its revision is newer than the
// one in force. Revisions never go back, so a late or repeated answer (from
// the KV or a peer) cannot revert an accepted configuration. While the KV is
// down the last good table stays in force.
package configwatch

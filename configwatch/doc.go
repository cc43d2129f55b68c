// Package configwatch keeps an entry's configuration up to date: it watches the
// live keys of the platform KV, or receives changes from peers that do, and
// replaces the compiled route.Table atomically and only by a newer revision.
// Revisions never decrease, so a late or repeated response from the KV or a
// peer cannot revert an accepted configuration. While the KV is down the last
// valid table stays in use.
//
// It also tracks how long ago the table was confirmed to be current (Age), by
// which an entry detects that it was paused or partitioned (Refresh).
package configwatch

// Package duty lets one process at a time hold a duty: a key in the
// platform's KV on a lease. The revision at which the key was created is the
// holder's fencing number; a later holder's is always higher.
//
// What goes wrong: the holder is paused, its lease lapses, another takes the
// duty, and the first resumes as if nothing had happened. A holder therefore
// acts only until a time on its own steady clock, counted from before it
// asked for the renewal and short of the lease by a margin; and what it does
// carries its fencing number, so that whoever checks it refuses the old one.
package duty

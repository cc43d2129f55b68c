// Package slowstart bounds the requests to cold endpoints: those that have just started, or turned
// cold again. A cold endpoint crashes if all entries together send it more than a few requests a
// second, and it looks like the best choice to all of them, as nothing runs there.
//
// Each cold endpoint is used by a few entries only, chosen by rendezvous hashing among those of its
// failure domain, and each of them sends its share of the rate. They need not agree on anything at
// the time, so that the bound also holds while entries are cut off from each other.
package slowstart

// Package slowstart bounds the requests that all entries together send to a cold endpoint, one that has
// just started. A few entries of its failure domain use it, by rendezvous hash, each at its share of
// the rate; without messages, so that the bound also holds while entries are cut off from each other.
package slowstart

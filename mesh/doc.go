// Package mesh exchanges state between entries by gossip: changes of the
// platform's store, for entries that it does not answer, and evidence on
// versions. Each entry picks a random peer for each exchange, so the cost per
// entry does not grow with the size of the fleet. Datagrams carry what is
// worthless a second later: outstanding work and load of endpoints, and retries.
//
// Entries do not vote on anything: the changes they pass on were accepted by
// the store, at its revision, and evidence is only added up.
package mesh

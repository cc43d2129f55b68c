// Package place decides which endpoint gets a request, from what this entry
// has seen of the endpoints. It makes no calls and is tested without a
// network.
//
// The load it answers: several entries place requests on the same engines at
// the same time, each seeing its own share and reports that are old when they
// arrive. Were each to take the least loaded engine, all would take the same.
// So each request has a preferred engine, by a hash that all entries share,
// which also finds the request's prompt in that engine's cache; it yields only
// when that engine is busier than the others by more than the cache is worth.
//
// A large fleet has hundreds of entries with a few requests a second each. There an
// entry knows of most engines only what others tell it (loads.go, share.go), and spreads
// its choices over all that it cannot tell apart.
package place

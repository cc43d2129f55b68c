// Package place selects the endpoint for a request, based on what this entry knows of the
// endpoints. It makes no network calls, so it is tested without a network.
//
// Several entries place requests on the same engines at the same time. Each sees only its own
// requests and reports that are old when they arrive. If each took the least loaded engine, all
// would take the same one. So each request has a preferred engine, chosen by a hash that all
// entries share; its cache is also likely to hold the request's prompt. Another engine is used
// only if the preferred one is busier by more than the cache is worth.
//
// A large fleet has hundreds of entries with a few requests per second each. There an entry
// knows of most engines only through reports from others (loads.go, peer_work.go), and
// randomizes its choice among the engines that it cannot distinguish.
package place

// Package mesh lets entries tell each other what they know: changes of the
// platform's store, for those that it does not answer, and evidence on
// versions. Each entry exchanges with one other, drawn anew each time, so the
// cost an entry does not grow with their number. Datagrams tell what is worth nothing
// a second later: work sent to endpoints, their load, repeats.
//
// Nothing is decided among entries: what they pass on was accepted by the
// store, at its revision, and evidence only adds up.
package mesh

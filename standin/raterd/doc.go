// Package raterd simulates the service that rates answers. A version has a
// skill and a prompt a difficulty, which grows with its length; the score grows
// with skill minus difficulty. Scores are a deterministic function of the
// request, so that runs are reproducible.
package raterd

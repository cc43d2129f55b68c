// Package raterd is the stand-in for the service that rates answers. A
// version has a skill and a prompt a difficulty (by its length); the score
// falls off where difficulty passes skill. Scores are a function of the
// request, so a run can be repeated.
package raterd

// Package rater is the port to the platform's service that rates answers:
// a score from 0 (useless) to 1 (good) for one answer. The rater may be slow
// or away; who asks says what happens then.
package rater

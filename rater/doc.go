// Package rater is the client interface to the platform service that rates answers.
// A rating is a score from 0 (useless) to 1 (good) for one answer. The service may be
// slow or unavailable; the caller decides how to proceed then.
package rater

// Package admission decides which requests wait at an entry while no endpoint of their service has
// capacity, in which order they get it, and when refused callers are to come back.
//
// A Queue holds the waiting requests of each service in order of urgency. It predicts from the measured
// rate at which requests get capacity when each of them is served, and refuses those that would not be
// answered within their objective. It sends nothing itself: the owner of a request is signalled to look
// for capacity, and reports whether it found some.
package admission

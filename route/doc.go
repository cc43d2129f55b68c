// Package route makes the routing decision for one request: customer by API
// key, allow list, session pin, roll-out weights, and back end by reported load
// and prefix-cache locality. A Table is built from one configuration document
// and is immutable, so a request decided under revision R is checked entirely
// against R.
package route

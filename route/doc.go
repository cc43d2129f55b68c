// Package route makes the routing decision for one request: customer from
// API key, allow list, session pin, roll-out weights, and the back end by
// reported load and prefix-cache locality. It is pure: a Table is built
// from one configuration document and never changed afterwards, so a
// request decided under revision R is checked entirely against R.
package route

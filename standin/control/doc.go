// Package control is what every stand-in offers operators and tests: its
// state as JSON (GET /debug/state) and its switches (PUT /fault).
package control

// Package quarantine keeps requests that crash the endpoints that run them away from
// all endpoints.
package quarantine

// Package service simulates a service other than an engine, such as a booking or
// intake application, whose calls (a tenant reminder, a pallet posting) are not
// idempotent. It records every execution, so that tests and operators can count
// them.
package service

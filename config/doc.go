// Package config defines the operators' configuration: customers, the models
// and versions each may use, cascades from cheap to costly models, roll-out
// weights and withdrawals, and the back ends (engines and plain services).
//
// Operators keep it as a folder of small YAML files. Load merges them in the
// order of their names, a later file overriding an earlier one key by key.
// Validate reports all findings with their paths together, so that an operator
// can fix all mistakes in one pass. A document takes effect only as a whole and
// only after validation.
package config

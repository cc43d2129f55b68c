// Package config is the operators' configuration: customers, the models and
// versions each may use, cascades from cheap to costly models, roll-out
// weights and withdrawals, and the back ends (engines and plain services).
//
// Operators keep it as a folder of small YAML files. Load merges them in the
// order of their names, a later file overriding an earlier one key by key;
// Validate then collects every finding with its file and path and reports
// them together, so an operator fixes all mistakes in one pass. A document is
// loaded, validated and then swapped in whole; nothing half-checked is used.
package config

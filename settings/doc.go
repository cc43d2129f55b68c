// Package settings reads the settings of an entry process from YAML: its
// instance name, failure domain, addresses, peers and timeouts. All problems are
// reported together at start, each with its field.
package settings

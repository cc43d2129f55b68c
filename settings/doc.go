// Package settings reads an entry process's own settings from YAML: its
// instance name, failure domain, addresses, peers and timeouts. Every
// problem is collected with its field and reported together at start.
package settings

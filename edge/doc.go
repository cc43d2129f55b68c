// Package edge puts together an entry that runs on the users' platform: its
// settings, its parts and their life from start to a planned stop.
package edge

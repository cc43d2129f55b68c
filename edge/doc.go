// Package edge assembles an entry that runs on the users' platform: its settings,
// its components and their lifecycle from start to graceful shutdown.
package edge

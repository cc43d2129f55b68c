// Package command holds one sub-package per lovagectl subcommand. Each
// registers its flags on a kingpin application and runs on its own.
package command

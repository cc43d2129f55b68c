// Package command has one subpackage per lovagectl subcommand. Each registers its
// flags and its action on a kingpin application.
package command

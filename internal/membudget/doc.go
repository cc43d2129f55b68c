// Package membudget bounds the memory that a process takes for what its clients send. Memory is reserved before it
// is allocated; whoever gets none refuses what it was for.
package membudget

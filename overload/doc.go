// Package overload tells when a process gets more work than its processor share allows.
//
// The process measures how long a byte that it sends to itself takes. One long delay may be a pause;
// repeated ones, or a used-up processor quota beside them, mean that it does not catch up.
package overload

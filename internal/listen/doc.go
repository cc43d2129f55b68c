// Package listen serves HTTP on an address and shuts down without dropping a
// request that it has already read. The listeners of a process share a Pool,
// which bounds the connections, descriptors and memory that clients take up.
package listen

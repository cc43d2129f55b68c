// Package kvserver is the stand-in for the platform's key-value service:
// the subset of the etcd v3 API that lovageweir uses, in its JSON mapping,
// over a memkv.Store, with fault switches an operator or a test
// can flip at run time (down, slow, ack lost after the write took effect,
// watches that stall) and a count of calls, a waiting watch as one.
package kvserver

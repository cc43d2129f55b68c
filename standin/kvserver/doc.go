// Package kvserver simulates the platform's key-value service: the subset of
// the etcd v3 API that lovageweir uses, in its JSON mapping, over a
// memkv.Store. Faults can be injected at run time (unavailability, delay,
// acknowledgements lost after the write took effect, stalled watches), and
// calls are counted, a watch as one call.
package kvserver

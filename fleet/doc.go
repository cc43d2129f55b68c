// Package fleet holds what an entry knows of its environment: the configuration
// in force, the endpoints that serve, the roll-outs in progress. It follows the
// platform's store with one watch over all keys. While the store does not answer
// it takes changes from other entries, identified by the same revisions.
//
// After the store came back from a copy, an entry replaces its copy by the store's state in the new era,
// and carries over what that lacks until it is written again.
//
// A View is one consistent, read-only state; a request takes the newest one and
// uses it for a whole decision. Views only ever move to higher revisions.
package fleet

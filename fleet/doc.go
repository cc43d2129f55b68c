// Package fleet holds what an entry knows of its surroundings: the
// configuration in force, the endpoints that serve, the roll-outs under way.
// It follows the platform's store with one watch over everything, and where
// the store does not answer it follows other entries, by the same revisions.
//
// A View is one consistent, read-only state; requests take the newest and
// keep it for a decision. Views only ever move to higher revisions.
package fleet

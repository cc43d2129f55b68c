package cascade

// Ladder decides which of a route's models answers first, and whether an
// answer that its model doubts is dropped for one of a larger model.
//
// Small models are cheap and fast and answer easy requests as well as large
// ones do; how hard a request is shows only in the answer. So the smallest
// model goes first, and its answer is dropped before the caller has received
// any of it when the model itself doubts it.
type Ladder struct {
	// Doubt is the confidence, 0 to 100, below which an answer is dropped.
	Doubt int
}

// DefaultDoubt: see docs/CASCADES.md for what callers got at other values.
const DefaultDoubt = 50

// First is the index of the model that a request starts with.
func (l Ladder) First(models int) int { return 0 }

// Next returns the model to ask after an answer of the model at index with
// the given confidence; ok is false when that answer stands. It goes to the
// largest: one in between costs an attempt and is little better.
func (l Ladder) Next(models, index, confidence int) (next int, ok bool) {
	if index >= models-1 || confidence < 0 || confidence >= l.Doubt {
		return index, false
	}
	return models - 1, true
}

// Package cascade decides which steps of a cascade are worth trying. A step
// that few answers pass costs more than it saves: its tokens are paid, its
// time is lost, and the next step runs anyway. The planner learns, for each
// step and size of prompt, the share of answers that pass, and starts at the
// first step whose share is worth it.
//
// What it knows is each entry's own and is lost with it: a wrong guess costs
// money or time, never a promise.
package cascade

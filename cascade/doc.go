// Package cascade decides which steps of a cascade are worth trying. A step
// whose answers rarely pass costs more than it saves: its tokens are paid, its
// time is lost, and the next step runs anyway. The planner learns the pass rate
// of each step and prompt size, and starts at the first step whose rate is high
// enough.
//
// Each entry learns on its own and loses its statistics when it exits: a wrong
// guess costs money or time, never correctness.
package cascade

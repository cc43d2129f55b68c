package quarantine

// Stage is how far a request had come at an endpoint when that crashed.
type Stage int

// Stages.
const (
	// Waiting: nothing of its answer had come, so that it may not have begun to run.
	Waiting Stage = iota
	// Started: the head of its answer had come and nothing else, so that it had just
	// begun to run.
	Started
	// Running: a part of its answer had come, so that the endpoint had run it for a while.
	Running
)

func (s Stage) String() string { return [...]string{"waiting", "started", "running"}[s] }

// weights are how much a crash at a stage says against a request. What crashes an
// endpoint does so as it begins to run; most others wait there or are long under way.
var weights = [...]int{Waiting: 2, Started: 3, Running: 1}

// guiltyWeight makes a request guilty: two crashes as it had just begun, or three
// wherever it was not under way.
const guiltyWeight = 6

package quarantine

// Stage is the progress of a request at an endpoint when that crashed.
type Stage int

// Stages.
const (
	// Waiting: no part of the answer had arrived, so the request may not have started to run.
	Waiting Stage = iota
	// Started: only the head of the answer had arrived, so the request had just started to
	// run.
	Started
	// Running: part of the answer's body had arrived, so the request had run for a while.
	Running
)

func (s Stage) String() string { return [...]string{"waiting", "started", "running"}[s] }

// requestWeights are the weights of a crash as evidence against a request, by its stage. A request
// that crashes an endpoint does so as it starts to run; most others there are waiting or
// have run for long.
var requestWeights = [...]int{Waiting: 2, Started: 3, Running: 1}

// partWeights are the same for a part of a prompt. Once a request has run for SoundAfter, its parts
// are cleared: running means that it had not.
var partWeights = [...]int{Waiting: 2, Started: 3, Running: 2}

// quarantineWeight is the weight at which a request or part is quarantined: two crashes when it had
// just started, or three when it was not yet running.
const quarantineWeight = 6

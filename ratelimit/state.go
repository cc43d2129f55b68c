package ratelimit

// EndpointState is what is known of one endpoint's limit, for the state dump.
type EndpointState struct {
	Endpoint  uint32  `json:"endpoint"`   // as entries call it among themselves
	PerSecond float64 `json:"per_second"` // 0: it names none any more
	AgeMS     int64   `json:"age_ms"`     // since an answer said so
	Sent      uint32  `json:"sent"`       // by this entry
}

// State returns the current dump.
func (l *Limits) State() []EndpointState {
	told := l.Tell()
	out := make([]EndpointState, 0, len(told))
	for _, t := range told {
		out = append(out, EndpointState{t.Endpoint, t.Limit, t.Age.Milliseconds(), t.Sent})
	}
	return out
}

package ratelimit

// EndpointState is the state of one endpoint's limit, for the state dump.
type EndpointState struct {
	Endpoint  uint32  `json:"endpoint"`   // short id
	PerSecond float64 `json:"per_second"` // 0: no longer limited
	AgeMS     int64   `json:"age_ms"`     // since an answer announced it
	Sent      uint32  `json:"sent"`       // requests sent by this entry
}

// State returns the current limits for the state dump.
func (l *Limits) State() []EndpointState {
	reports := l.Reports()
	out := make([]EndpointState, 0, len(reports))
	for _, r := range reports {
		out = append(out, EndpointState{r.Endpoint, r.Limit, r.Age.Milliseconds(), r.Sent})
	}
	return out
}

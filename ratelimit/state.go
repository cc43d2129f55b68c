package ratelimit

// EndpointState is the state of one endpoint's limit, for the state dump.
type EndpointState struct {
	Endpoint  uint32  `json:"endpoint"`   // short id
	PerSecond float64 `json:"per_second"` // 0: no longer limited
	AgeMS     int64   `json:"age_ms"`     // since an answer announced it
	Sent      uint32  `json:"sent"`       // requests sent by this entry
	Owner     string  `json:"owner"`      // entry that grants requests
	Level     float64 `json:"level"`      // requests that the bucket holds; owner only
	Capacity  float64 `json:"capacity"`   // requests that fit the bucket; owner only
}

// State returns the current limits for the state dump.
func (l *Limits) State() []EndpointState {
	reports := l.Reports()
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]EndpointState, 0, len(reports))
	for _, r := range reports {
		s := EndpointState{Endpoint: r.Endpoint, PerSecond: r.Limit, AgeMS: r.Age.Milliseconds(), Sent: r.Sent}
		if e := l.byID[r.Endpoint]; e != nil && e.limit > 0 {
			s.Owner = e.owner.Instance
			if e.owner.Instance == l.Instance {
				e.bucket.drain(now, e.share*e.limit)
				s.Level, s.Capacity = e.bucket.level, capacity(e.limit)
			}
		}
		out = append(out, s)
	}
	return out
}

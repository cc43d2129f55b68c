package instances

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/control"
)

type snapshot struct {
	at   time.Time
	list openai.InstanceList
}

// List is an instance list that serves its changes late.
type List struct {
	clock clockwork.Clock
	lag   time.Duration

	mu        sync.Mutex
	snapshots []snapshot // oldest first; the first is served until the next is lag old
}

// New returns an empty list that serves each change after lag.
func New(clock clockwork.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag, snapshots: []snapshot{{at: clock.Now(), list: openai.InstanceList{Revision: 1}}}}
}

// Put adds or replaces instances by name.
func (l *List) Put(instances ...openai.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.snapshots[len(l.snapshots)-1].list
	next := openai.InstanceList{Revision: last.Revision + 1, Instances: slices.Clone(last.Instances)}
	for _, i := range instances {
		next.Instances = slices.DeleteFunc(next.Instances, func(o openai.Instance) bool { return o.Name == i.Name })
		next.Instances = append(next.Instances, i)
	}
	l.snapshots = append(l.snapshots, snapshot{l.clock.Now(), next})
}

// Served returns the list that is visible now, with the changes older than lag.
func (l *List) Served() openai.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.snapshots) > 1 && l.clock.Now().Sub(l.snapshots[1].at) >= l.lag {
		l.snapshots = l.snapshots[1:]
	}
	return l.snapshots[0].list
}

// Handler serves GET /v1/instances and PUT /v1/instances (a JSON array).
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+openai.PathInstances, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, l.Served()) })
	control.State(mux, func() any { return l.Served() })
	control.Put(mux, openai.PathInstances, func(list []openai.Instance) { l.Put(list...) })
	return mux
}

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

type version struct {
	at   time.Time
	list openai.InstanceList
}

// List is the stand-in.
type List struct {
	clock clockwork.Clock
	lag   time.Duration

	mu       sync.Mutex
	versions []version // oldest first; the first is served until the next is Lag old
}

// New returns an empty list that serves changes lag later.
func New(clock clockwork.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag, versions: []version{{at: clock.Now(), list: openai.InstanceList{Revision: 1}}}}
}

// Put adds or replaces instances by name.
func (l *List) Put(in ...openai.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1].list
	next := openai.InstanceList{Revision: last.Revision + 1, Instances: slices.Clone(last.Instances)}
	for _, i := range in {
		next.Instances = slices.DeleteFunc(next.Instances, func(o openai.Instance) bool { return o.Name == i.Name })
		next.Instances = append(next.Instances, i)
	}
	l.versions = append(l.versions, version{l.clock.Now(), next})
}

// Served returns the list as the platform tells it now.
func (l *List) Served() openai.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && l.clock.Now().Sub(l.versions[1].at) >= l.lag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].list
}

// Handler serves GET /v1/instances and PUT /v1/instances (a JSON array).
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+openai.PathInstances, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, l.Served()) })
	control.State(mux, func() any { return l.Served() })
	control.Put(mux, openai.PathInstances, func(in []openai.Instance) { l.Put(in...) })
	return mux
}

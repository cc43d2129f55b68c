package fleet

import (
	"strconv"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// Kind says what may be done with a request of a route when it is not known
// whether an endpoint ran it.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by a stream of events. They run once
	// unless the route lets streams resume.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting; Objective the
	// time within which an answer is worth all it can be.
	Timeout   time.Duration
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream on time.
	MaxGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the most endpoints that one request is sent to.
	MaxAttempts int
	// Public requests need no API key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Models are the names of the models that may answer, smallest first;
	// empty where the caller names the model.
	Models []string
	// Targets are the services that the route's requests are split over, by
	// weight. There is at least one.
	Targets []Target
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// MaxConnections is how many connections one endpoint accepts from all
	// entries together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is what the configuration says of a service's model engines.
type Engine struct {
	Slots    int
	KVTokens int // tokens of memory of one engine
	// Cost is the price of 1,000 tokens generated, by model.
	Cost map[string]float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is a caller's organisation.
type Customer struct {
	Name string
	// Priority goes before the route's; nil: the route's holds.
	Priority *int
	Keys     []string
}

// Config is one version of the operators' configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits
}

// EndpointID names one incarnation of an endpoint: what is learned of it, and
// what was sent to it, ends with it.
type EndpointID string

// IncarnationID is the id of the incarnation of an endpoint that started at a
// time in Unix milliseconds; 0: it does not tell, and its name is enough.
func IncarnationID(name string, born int64) EndpointID {
	if born == 0 {
		return EndpointID(name)
	}
	return EndpointID(name + "@" + strconv.FormatInt(born, 10))
}

// Endpoint is one back end as it registered itself.
type Endpoint struct {
	ID EndpointID
	// Name is what the endpoint answers to. One that starts again may have the
	// name that it had, and then knows nothing of before.
	Name string
	// Born is when this incarnation started, in Unix milliseconds; 0: not told.
	Born     int64
	Service  string
	Address  string // IP:port
	Domain   string // failure domain
	Version  string // of its software
	Slots    int
	Draining bool
	// Registered is the revision at which its registration was made, however often it
	// was written since.
	Registered kv.Revision
}

// RolloutState is how far a roll-out has come.
type RolloutState string

// Rollout states.
const (
	RolloutPending    RolloutState = ""
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout is an operator's order to move a service to a version.
type Rollout struct {
	Service  string
	Target   string
	Duration time.Duration
	// Ordered is the revision of the order: a new order for the same service
	// has a higher one.
	Ordered kv.Revision
	// State is what was last recorded for this order, at revision Recorded
	// (0: nothing yet).
	State    RolloutState
	Recorded kv.Revision
}

// RolloutStatus is what is recorded of a roll-out for the operators.
type RolloutStatus struct {
	Target string
	State  RolloutState
}

// Decoder reads the store's values; the platform's adapter implements it.
type Decoder interface {
	// Classify says what lies under a key, and the name within its kind.
	Classify(key string) (ItemKind, string)
	Config(value []byte) (*Config, error)
	Endpoint(name string, value []byte) (Endpoint, error)
	Rollout(value []byte) (Rollout, error)
	RolloutStatus(value []byte) (RolloutStatus, error)
	// EncodeRolloutStatus returns the key and value that record a state.
	EncodeRolloutStatus(service string, s RolloutStatus) (key string, value []byte, err error)
}

// ItemKind is what a key of the store holds.
type ItemKind int

// Kinds of items.
const (
	ItemOther ItemKind = iota
	ItemConfig
	ItemEndpoint
	ItemRollout
	ItemRolloutStatus
	ItemWithdrawn
	ItemQuarantined
	ItemEntry
)

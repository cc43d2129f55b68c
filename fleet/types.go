package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/kv"
)

// Kind determines what may be done with a route's request if it is not known
// whether an endpoint executed it.
type Kind int

const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed again.
	Idempotent
	// Streaming requests are answered by a stream of events. They are executed once
	// unless the route lets streams resume.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// Route determines where requests for a host and path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest that a caller waits. Objective is the target latency:
	// an answer within it has its full value.
	Timeout   time.Duration
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that counts as on time.
	MaxGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the most endpoints that one request is sent to.
	MaxAttempts int
	// Public requests need no API key.
	Public bool
	// Resumable streams may continue at another endpoint.
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

// MayRepeat reports whether a request that may have been executed may be sent again.
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
	// ColdFor is how long an endpoint is cold after its start, or after it turned cold again.
	ColdFor time.Duration
	// ColdPerSecond is how many requests a second a cold endpoint accepts from all entries
	// together; 0: cold endpoints are used like others.
	ColdPerSecond float64
}

// Engine is the configuration of a service's model engines.
type Engine struct {
	Slots    int
	KVTokens int // memory of one engine, in tokens
	// Cost is the price of 1,000 generated tokens, by model.
	Cost map[string]float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is an organisation that callers belong to.
type Customer struct {
	Name string
	// Priority overrides the route's, unless nil.
	Priority *int
	Keys     []string
}

// Config is one version of the operators' configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	// KeysRequired: requests on routes that are not public need an API key, also if no customer has one.
	KeysRequired bool
	Limits       Limits
}

// EndpointID identifies one incarnation of an endpoint. State and requests in flight
// belong to the incarnation and end with it.
type EndpointID string

// IncarnationID returns the ID of the incarnation of an endpoint that started at
// born, in Unix milliseconds. 0 means not reported; the name is then the ID.
func IncarnationID(name string, born int64) EndpointID {
	if born == 0 {
		return EndpointID(name)
	}
	return EndpointID(name + "@" + strconv.FormatInt(born, 10))
}

// Name returns the name of the endpoint.
func (id EndpointID) Name() string {
	name, _, _ := strings.Cut(string(id), "@")
	return name
}

// Endpoint is one back end, as registered by itself.
type Endpoint struct {
	ID EndpointID
	// Name is the endpoint's own name. A restarted endpoint may have the same name, but
	// has no state of its earlier incarnation.
	Name string
	// Born is when this incarnation started, in Unix milliseconds; 0 if not reported.
	Born     int64
	Service  string
	Address  string // IP:port
	Domain   string // failure domain
	Version  string // of its software
	Slots    int
	Draining bool
	// Registered is the revision that created its registration; later writes do not
	// change it.
	Registered kv.Revision
	// ColdUntil is until when it is cold, on the monotonic clock; zero: it is not.
	ColdUntil time.Time `json:",omitzero"`
	// hash is that of ID; 0: not computed yet.
	hash uint64
}

// Hash returns a hash of the endpoint's ID that all entries share.
func (e *Endpoint) Hash() uint64 {
	if e.hash != 0 {
		return e.hash
	}
	return xxhash.Sum64String(string(e.ID))
}

// Registration is what an endpoint wrote of itself.
type Registration struct {
	Endpoint
	// Cold is how much longer the endpoint is cold, as of the registration's last write.
	Cold time.Duration
}

// RolloutState is the progress of a roll-out.
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
	// Ordered is the revision of the order: a new order for the same service has a
	// higher one.
	Ordered kv.Revision
	// First is the revision under which this entry learned of the order. It stays if the order is
	// written again after the store lost it.
	First kv.Revision
	// State is the last recorded state of this order. Recorded is the revision of
	// the service's last record, also of an earlier order; 0 if there is none.
	State    RolloutState
	Recorded kv.Revision
	// Unrecorded: the state has to be recorded again: the store lost its record, or the order was
	// written again after it.
	Unrecorded bool

	// statusAfter is the revision after which records of the service are this order's.
	statusAfter kv.Revision
}

// RolloutStatus is the record of a roll-out's state for the operators.
type RolloutStatus struct {
	Target string
	State  RolloutState
}

// Decoder decodes the store's values; the platform's adapter implements it.
type Decoder interface {
	// Classify returns the kind of item under a key, and its name within the kind.
	Classify(key string) (ItemKind, string)
	Config(value []byte) (*Config, error)
	Endpoint(name string, value []byte) (Registration, error)
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
	ItemQuarantinedPart
	ItemEntry
	ItemEvacuation
)

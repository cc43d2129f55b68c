package config

// Version states. A withdrawn version receives no new work; requests of its
// sessions are refused explicitly rather than silently served by another
// version.
const (
	StateActive    = "active"
	StateWithdrawn = "withdrawn"
)

// Back-end kinds.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// AnyVersion in a customer's allow list admits every version of the model.
const AnyVersion = "*"

// Document is a complete configuration.
type Document struct {
	Customers map[string]Customer `yaml:"customers" json:"customers"`
	Models    map[string]Model    `yaml:"models" json:"models"`
	Cascades  map[string]Cascade  `yaml:"cascades" json:"cascades"`
	Backends  map[string]Backend  `yaml:"backends" json:"backends"`
	Domains   map[string]Domain   `yaml:"domains" json:"domains,omitempty"`
}

// Domain is what the operators say of a failure domain.
type Domain struct {
	// Evacuated: its back ends get no requests.
	Evacuated bool `yaml:"evacuated" json:"evacuated,omitempty"`
}

// Customer is one tenant: its API keys and what it may use.
type Customer struct {
	APIKeys []string `yaml:"api_keys" json:"api_keys"`
	// Allow maps a model (or cascade) name to the versions the customer may
	// use; AnyVersion admits all.
	Allow map[string][]string `yaml:"allow" json:"allow"`
	// Priority orders load shedding: requests of customers with a higher
	// priority are shed later (see route.Reserve).
	Priority int `yaml:"priority" json:"priority"`
}

// Model is one model with its versions.
type Model struct {
	// CostPerMTok is the price of a million generated tokens, in the
	// deployment's currency.
	CostPerMTok float64            `yaml:"cost_per_mtok" json:"cost_per_mtok"`
	Versions    map[string]Version `yaml:"versions" json:"versions"`
}

// Version is one version of a model and its share of new sessions.
type Version struct {
	State  string `yaml:"state" json:"state"`
	Weight int    `yaml:"weight" json:"weight"`
	// Attempt numbers the attempts to roll the version out; a halt applies to
	// one attempt only.
	Attempt int `yaml:"attempt" json:"attempt,omitempty"`
	// Guard evaluates the version's answers; nil disables the evaluation.
	Guard *Guard `yaml:"guard" json:"guard,omitempty"`
}

// Guard halts a version whose answers score badly: the version then gets no new
// work, and its weight goes to Baseline.
type Guard struct {
	// Baseline is the version that takes over.
	Baseline string `yaml:"baseline" json:"baseline"`
	// MinScore is the rater's score below which an answer counts as bad.
	MinScore float64 `yaml:"min_score" json:"min_score"`
}

// Cascade tries models from cheap to costly until an answer is good enough.
type Cascade struct {
	Steps []Step `yaml:"steps" json:"steps"`
	// SkipBelow is the pass rate of a step for a prompt size below which the
	// step is skipped for that size, except for occasional probes. Zero selects
	// the cost ratio of the step to the next, below which trying the step costs
	// more than it saves. An operator who values latency above cost sets it
	// higher.
	SkipBelow float64 `yaml:"skip_below" json:"skip_below,omitempty"`
}

// Step is one model of a cascade and the rater score its answer must reach
// for the cascade to stop there.
type Step struct {
	Model    string  `yaml:"model" json:"model"`
	MinScore float64 `yaml:"min_score" json:"min_score"`
}

// Backend is one engine or plain service.
type Backend struct {
	Kind    string `yaml:"kind" json:"kind"`
	Address string `yaml:"address" json:"address"`
	Domain  string `yaml:"domain" json:"domain"`
	Model   string `yaml:"model" json:"model"`
	Version string `yaml:"version" json:"version"`
	// Capacity is how many requests it handles concurrently. Zero means
	// unknown: no load is shed before the back end refuses a request.
	Capacity int `yaml:"capacity" json:"capacity,omitempty"`
	// Idempotent says whether a call may be repeated. Calls to a
	// non-idempotent service are never retried after dispatch.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
}

package openai

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Delta is the new text of a streamed chunk.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is one SSE event of a streamed answer. ID is the request id, which the
// entry checks on every chunk so that no answer is relayed to the wrong caller.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Choice is one choice of a non-streamed answer.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// ChatResponse is a non-streamed answer.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Error types. OutcomeNotRun is used only if the request provably did not run,
// OutcomeUnknown if it may have.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "outcome_unknown"
)

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether the request ran.
type ErrorDetail struct {
	Type              string `json:"type"`
	Code              string `json:"code"`
	Message           string `json:"message"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

// Headers between caller, entry and engine.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderSessionID      = "X-Session-Id"
	HeaderSessionToken   = "X-Session-Token"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVersion        = "X-Lovageweir-Version"
	HeaderBackend        = "X-Lovageweir-Backend"
	HeaderRevision       = "X-Lovageweir-Config-Revision"
	// HeaderDraining is set in its answers by a back end that is draining, which refuses
	// requests or will soon.
	HeaderDraining = "X-Draining"
	// HeaderRateLimit is how many requests per second a back end accepts from all entries
	// together. It is set on each answer for as long as the limit applies.
	HeaderRateLimit = "X-Lovageweir-Rate-Limit"
	// HeaderQuality is QualityBelow on an answer of a cascade in which no step reached its
	// target.
	HeaderQuality = "X-Lovageweir-Quality"
	QualityBelow  = "below-target"
)

// Paths of the status and control APIs of engines and of the instance list. They
// are not part of the OpenAI API; a deployment whose engines report in another
// form needs an adapter.
const (
	PathLoad      = "/load"
	PathInstances = "/v1/instances"
	PathOrders    = "/orders"
)

// LoadReport is the load that an engine reports of itself. It may be stale.
type LoadReport struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	InFlight int    `json:"in_flight"`
	Capacity int    `json:"capacity"`
	Draining bool   `json:"draining"`
}

// Kinds and states of Instance.
const (
	InstanceEntry    = "entry"
	InstanceEndpoint = "endpoint"
	InstanceLive     = "live"
	InstanceLeaving  = "leaving"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// InstanceList is the platform's list of instances. It may be stale; Revision rises
// with every change.
type InstanceList struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Actions of Order.
const (
	OrderLoad   = "load"
	OrderDrain  = "drain"
	OrderResume = "resume"
)

// Order tells an engine what to serve. Fence is the fencing token of the lease
// under which it is sent; some engines reject a stale one (409), others obey it.
type Order struct {
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// Package wire defines the JSON formats of the HTTP APIs of engines, scorers, other upstreams
// and the platform. It is meant for the adapters (internal/upstream, internal/infra) and the
// simulated servers (internal/standin), so that another format takes a new adapter and no change
// elsewhere.
package wire

// Names of the HTTP headers in calls to upstreams.
const (
	// HeaderRequestID is the ID of the request. Upstreams repeat it in the response.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun is "true" in a response by which an upstream refuses a request without
	// having run any of it.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "true" in every response of an upstream that is leaving.
	HeaderLeaving = "X-Leaving"
)

// StreamEnd is the data of the last SSE event of a complete generation.
const StreamEnd = "[DONE]"

// GenerateRequest is the body of POST /v1/completions on an engine. Chat
// requests use Messages and POST /v1/chat/completions.
type GenerateRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Seed      int64     `json:"seed,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// ResumeText is the text that another engine has already generated. The engine continues
	// after it and doesn't send it again.
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"` // number of tokens in ResumeText
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateChunk is the data of one SSE event, or the whole response if the request's Stream
// is false.
type GenerateChunk struct {
	ID      string   `json:"id"` // the request's X-Request-Id
	Object  string   `json:"object,omitempty"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"` // has one entry
	// WeightVersion is the version that generated this chunk's tokens.
	WeightVersion int64 `json:"weight_version,omitempty"`
	// Tokens is the number of tokens in this chunk.
	Tokens int `json:"tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache. It is set in the
	// first chunk only.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Segments are the runs of tokens by one weight version, in order. They are set only if
	// the request's Stream is false.
	Segments []Segment `json:"segments,omitempty"`
}

// Segment is a number of consecutive tokens that one weight version generated.
type Segment struct {
	WeightVersion int64 `json:"weight_version"`
	Tokens        int   `json:"tokens"`
}

// Choice is the text of a chunk.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`    // of completions
	Delta        *Message `json:"delta,omitempty"`   // of streamed chats
	Message      *Message `json:"message,omitempty"` // of chats that aren't streamed
	FinishReason *string  `json:"finish_reason"`
}

// LoadReport is the response to GET /load on any upstream.
type LoadReport struct {
	BootID  string `json:"boot_id"` // changes when the process restarts
	Running int    `json:"running"` // number of requests that run
	Queued  int    `json:"queued"`  // number of requests that wait
	Leaving bool   `json:"leaving"`
	// Serving is the version that is served, by model.
	Serving map[string]int64 `json:"serving,omitempty"`
	// Loaded are the versions held in memory, by model.
	Loaded map[string][]int64 `json:"loaded,omitempty"`
	// TokenTimeMicros is the recent mean time between two tokens of a stream, in microseconds.
	TokenTimeMicros int64 `json:"token_time_micros,omitempty"`
	// AgeMillis is the age of this report in milliseconds.
	AgeMillis int64 `json:"age_millis"`
}

// CacheEventPage is the response to GET /cache-events?from=N. Events are delayed, and some are
// missing.
type CacheEventPage struct {
	Next   int64        `json:"next"` // from of the next call
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a prompt prefix was added to the engine's cache or evicted from it.
type CacheEvent struct {
	Seq     int64  `json:"seq"`    // sequence number; after missing events it is more than 1 larger
	Prefix  uint64 `json:"prefix"` // xxhash64 of the prompt's first PrefixBytes bytes
	Evicted bool   `json:"evicted"`
}

// PrefixBytes is the number of bytes at the beginning of a prompt that identify its prefix.
const PrefixBytes = 64

// OrderKind says what an order tells an engine to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoad        OrderKind = "load"         // fetch a version into memory
	OrderSwitch      OrderKind = "switch"       // serve a loaded version
	OrderLoadAdapter OrderKind = "load_adapter" // fetch an adapter into memory
	OrderRole        OrderKind = "role"         // change the role
)

// Order is the body of POST /orders on an engine. The response is status 200 with an
// OrderResult, status 409 with one if the fencing token is too old, or status 5xx if the order
// failed and nothing changed.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version int64     `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the fencing token. Engines that check it refuse an order whose token is below
	// the highest one that they have seen.
	Fence int64 `json:"fence"`
	// DeadlineMillis is the time in milliseconds after its arrival at which the engine drops
	// the order if it hasn't begun it.
	DeadlineMillis int64 `json:"deadline_millis"`
}

// OrderResult is the response to an order.
type OrderResult struct {
	Applied      bool   `json:"applied"`
	Serving      int64  `json:"serving"`                 // version that is served now
	HighestFence int64  `json:"highest_fence,omitempty"` // highest fencing token seen
	Error        string `json:"error,omitempty"`
}

// ScoreRequest is the body of POST /score on a scorer.
type ScoreRequest struct {
	Prompt     string `json:"prompt"`
	Completion string `json:"completion"`
}

// ScoreResponse is the response of a scorer.
type ScoreResponse struct {
	ID     string  `json:"id"` // the request's X-Request-Id
	Reward float64 `json:"reward"`
}

// Package dispatch brings requests to upstreams: admission, routing, retry,
// resume, hedging, poison quarantine and health around an upstream client. It
// is the runtime (clock, locks, goroutines) of the pure packages limits,
// routing, retry, poison and health.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Class separates work that a person waits for from work of a training step.
type Class int

// The classes, most urgent first.
const (
	Production Class = iota
	Rollout
)

// String names the class for logs and counters.
func (c Class) String() string {
	if c == Rollout {
		return "rollout"
	}
	return "production"
}

// Generate asks for one completion of a model.
type Generate struct {
	ID             ident.RequestID
	Team           ident.Team
	Model          ident.Model
	Class          Class
	Prompt         string
	Chat           []wire.Message
	MaxTokens      int
	Seed           int64
	Deadline       time.Time // zero: none
	ExpectedTokens int       // 0: unknown
	// MinVersion keeps a rollout off engines that serve an older version; 0 is any.
	MinVersion ident.Version
	// Prefer brings it to an engine that serves this version or a newer one while
	// one has room, and to any that MinVersion lets pass otherwise.
	Prefer ident.Version
	// Straggler marks one of a step's last samples: it may hedge.
	Straggler bool
}

// Segment counts consecutive tokens that one weight version generated.
type Segment struct {
	Version ident.Version
	Tokens  int
}

// Generated is a whole completion. Segments are in the order of the text, and
// two neighbours never name the same version.
type Generated struct {
	Text         string
	Segments     []Segment
	FinishReason string
	Upstreams    []ident.Upstream // in the order in which they contributed
}

// Call asks a plain service of a group for one answer.
type Call struct {
	ID         ident.RequestID
	Team       ident.Team
	Group      string
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Idempotent bool
	Deadline   time.Time // zero: none
}

// Digest is what one daemon tells its peers about its dispatching.
type Digest struct {
	InFlight map[ident.Upstream]int
	Leaving  []ident.Upstream
	Down     []ident.Upstream
	Poison   []poison.Mark
	Serving  map[ident.Upstream]map[ident.Model]ident.Version
}

// PoisonMark is what daemons tell each other about a suspect request.
type PoisonMark = poison.Mark

// Status is one upstream as the queries show it.
type Status struct {
	Name       ident.Upstream                `json:"name"`
	Group      string                        `json:"group"`
	DataCentre ident.DataCentre              `json:"data_centre"`
	Address    string                        `json:"address"`
	Health     string                        `json:"health"`
	Leaving    bool                          `json:"leaving"`
	Weight     float64                       `json:"weight"` // 0..1, share of its usual load
	InFlight   int                           `json:"in_flight"`
	Limit      int                           `json:"limit"`
	Queued     int                           `json:"queued"` // of the whole group
	Serving    map[ident.Model]ident.Version `json:"serving,omitempty"`
	BootID     string                        `json:"boot_id,omitempty"`
}

// Client is what dispatching needs of upstream.Client.
type Client interface {
	Generate(context.Context, upstream.Target, upstream.GenerateRequest, func(upstream.Chunk) error) error
	Call(context.Context, upstream.Target, upstream.ServiceRequest) (*upstream.ServiceResponse, error)
	Score(ctx context.Context, t upstream.Target, id ident.RequestID, prompt, completion string) (float64, error)
	Load(context.Context, upstream.Target) (wire.LoadReport, error)
}

// Recorder takes events for the timeline. It never gets prompts or bodies.
type Recorder interface {
	Record(kind string, id ident.RequestID, team ident.Team, up ident.Upstream, detail string)
}

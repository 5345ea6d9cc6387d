package config

import "github.com/dogwoodflow/dogwoodflow/internal/ident"

// Tree is the whole configuration: one branch for the fleet and one a team.
type Tree struct {
	Fleet Fleet               `json:"fleet"`
	Teams map[ident.Team]Team `json:"teams"`

	keys keyIndex // nil in a tree built by hand
}

// Fleet is the branch of what all teams share.
type Fleet struct {
	Groups map[string]Group `json:"groups"`
	// ProductionReserve is the share of each engine that rollouts leave free,
	// 0 to 0.9.
	ProductionReserve float64 `json:"production_reserve"`
}

// Kind says what the upstreams of a group are.
type Kind string

// The kinds of a group.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindScorer  Kind = "scorer"
)

// Group is a set of upstreams that do the same work.
type Group struct {
	Kind      Kind                        `json:"kind"`
	Upstreams map[ident.Upstream]Upstream `json:"upstreams"`
}

// Upstream is one upstream. One name may stand in several groups of a kind, but
// then with the same content.
type Upstream struct {
	Address    string           `json:"address"` // ip:port
	DataCentre ident.DataCentre `json:"data_centre"`
	// ChecksFencing says that it refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// MaxConcurrency bounds the requests in flight; 0 has it found by latency.
	MaxConcurrency int `json:"max_concurrency"`
}

// Role says what a key may do. An operator may do what a trainer may, and a
// trainer what a caller may.
type Role string

// The roles of a key.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
)

// Key is a credential of a team. The secret itself never stands in the tree.
type Key struct {
	SHA256 string `json:"sha256"` // hex of the secret's hash
	Role   Role   `json:"role"`
}

// Team is the branch of one team.
type Team struct {
	Keys   map[string]Key        `json:"keys"`
	Models map[ident.Model]Model `json:"models"`
	Routes map[string]Route      `json:"routes"`
	Jobs   map[ident.Job]Job     `json:"jobs"`
	Limits Limits                `json:"limits"`
	// StalenessWeight is 0 when only the trainer's idle time counts, 1 when only
	// the samples' staleness does.
	StalenessWeight float64 `json:"staleness_weight"`
}

// Model is a model that a team may use.
type Model struct {
	Group          string `json:"group"`           // of kind engine
	StalenessBound int64  `json:"staleness_bound"` // in versions
	MaxTokens      int    `json:"max_tokens"`      // an answer; 0 takes the default
}

// Route sends requests to a group of services. The longest path that is a
// prefix of the request's wins.
type Route struct {
	Path          string   `json:"path"` // prefix, begins with "/"
	Methods       []string `json:"methods"`
	Group         string   `json:"group"` // of kind service
	Idempotent    bool     `json:"idempotent"`
	TimeoutMillis int64    `json:"timeout_ms"` // 0 takes the default
}

// Job is a rollout job.
type Job struct {
	Model          ident.Model `json:"model"`
	Scorer         string      `json:"scorer"`     // group of kind scorer
	GroupSize      int         `json:"group_size"` // samples a prompt
	StalenessBound *int64      `json:"staleness_bound,omitempty"`
	MaxTokens      int         `json:"max_tokens"` // a sample, at most the model's
	Cancelled      bool        `json:"cancelled,omitempty"`
}

// Bound returns the staleness bound in versions: the job's own or the model's.
func (j Job) Bound(m Model) int64 {
	if j.StalenessBound != nil {
		return *j.StalenessBound
	}
	return m.StalenessBound
}

// Limits bounds what a team may use. 0 takes the default.
type Limits struct {
	Weight       float64 `json:"weight"`    // fair share
	MaxQueue     int     `json:"max_queue"` // requests waiting, in one daemon
	MaxBodyBytes int64   `json:"max_body_bytes"`
}

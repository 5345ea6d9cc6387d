package config

import "github.com/dogwoodflow/dogwoodflow/internal/ident"

// Tree is the whole configuration: one branch for the fleet and one for each team.
type Tree struct {
	Fleet Fleet               `json:"fleet"`
	Teams map[ident.Team]Team `json:"teams"`

	keys keyIndex // nil unless the tree belongs to a State
}

// Fleet holds the settings that all teams share.
type Fleet struct {
	Groups map[string]Group `json:"groups"`
	// ProductionReserve is the share of each engine's capacity that rollouts leave
	// free, 0 to 0.9.
	ProductionReserve float64 `json:"production_reserve"`
}

// GroupKind is the type of the upstreams in a group.
type GroupKind string

// Kinds of groups.
const (
	KindEngine  GroupKind = "engine"
	KindService GroupKind = "service"
	KindScorer  GroupKind = "scorer"
)

// Group is a set of upstreams that do the same work.
type Group struct {
	Kind      GroupKind                   `json:"kind"`
	Upstreams map[ident.Upstream]Upstream `json:"upstreams"`
}

// Upstream is one upstream. A name may appear in several groups of the same kind if
// its settings are the same in all of them.
type Upstream struct {
	Address    string           `json:"address"` // ip:port
	DataCentre ident.DataCentre `json:"data_centre"`
	// ChecksFencing is true if the upstream refuses orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checks_fencing"`
	// MaxConcurrency bounds the requests in flight; 0 derives the limit from latency.
	MaxConcurrency int `json:"max_concurrency"`
}

// Role defines what a key may do. An operator may do everything that a trainer may,
// and a trainer everything that a caller may.
type Role string

// Roles of keys.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
)

// Key is a credential of a team. The tree never contains the secret itself.
type Key struct {
	SHA256 string `json:"sha256"` // hash of the secret, in hex
	Role   Role   `json:"role"`
}

// Team holds the settings of one team.
type Team struct {
	Keys   map[string]Key        `json:"keys"`
	Models map[ident.Model]Model `json:"models"`
	Routes map[string]Route      `json:"routes"`
	Jobs   map[ident.Job]Job     `json:"jobs"`
	Limits Limits                `json:"limits"`
	// StalenessWeight weighs the samples' staleness against the trainer's idle time:
	// 0 considers only the idle time, 1 only the staleness.
	StalenessWeight float64 `json:"staleness_weight"`
}

// Model is a model that a team may use.
type Model struct {
	Group          string `json:"group"`           // of kind engine
	StalenessBound int64  `json:"staleness_bound"` // in versions
	MaxTokens      int    `json:"max_tokens"`      // per answer; 0 is the default
}

// Route forwards requests to a group of services. Of several routes, the one with the
// longest path that is a prefix of the request's path is used.
type Route struct {
	Path          string   `json:"path"` // path prefix, begins with "/"
	Methods       []string `json:"methods"`
	Group         string   `json:"group"` // of kind service
	Idempotent    bool     `json:"idempotent"`
	TimeoutMillis int64    `json:"timeout_ms"` // 0 is the default
}

// Job is a rollout job.
type Job struct {
	Model          ident.Model `json:"model"`
	Scorer         string      `json:"scorer"`                    // group of kind scorer
	GroupSize      int         `json:"group_size"`                // samples per prompt
	StalenessBound *int64      `json:"staleness_bound,omitempty"` // in versions; nil is the model's
	MaxTokens      int         `json:"max_tokens"`                // per sample, at most the model's
	Cancelled      bool        `json:"cancelled,omitempty"`
}

// EffectiveStalenessBound returns the staleness bound in versions: the job's own if set, else that of
// its model m.
func (j Job) EffectiveStalenessBound(m Model) int64 {
	if j.StalenessBound != nil {
		return *j.StalenessBound
	}
	return m.StalenessBound
}

// Limits bounds the resources that a team may use. 0 is the default.
type Limits struct {
	Weight       float64 `json:"weight"`    // in fair queueing
	MaxQueue     int     `json:"max_queue"` // waiting requests per daemon
	MaxBodyBytes int64   `json:"max_body_bytes"`
}

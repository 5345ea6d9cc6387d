// Package inspect is what a daemon on the shared log tells operators about its own
// view: batches, upstreams, configuration and the store. Each daemon answers for
// itself; where two disagree, the ages say which one is behind.
package inspect

import "github.com/dogwoodflow/dogwoodflow/internal/customers"

// Status is how a daemon sees its surroundings.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	// NotReady says why the daemon wants no new connections, "" if it does.
	NotReady string        `json:"not_ready,omitempty"`
	Config   Configuration `json:"config"`
	Views    []View        `json:"views"`
	Owns     []int         `json:"owns"` // partitions whose batches this daemon runs
}

// Configuration is the one in force. Version 0 is none.
type Configuration struct {
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"` // since it came into force here
	Routes  int   `json:"routes"`
}

// View is a partition of the store as the daemon follows it.
type View struct {
	Topic     string `json:"topic"`
	Part      int    `json:"part"`
	Next      int64  `json:"next"`       // offset of the next record
	AgeMS     int64  `json:"age_ms"`     // since it was last known to be whole, -1: never
	InContact bool   `json:"in_contact"` // reads are answered
}

// Batch is one batch of samples.
type Batch struct {
	ID         string `json:"id"`
	Model      string `json:"model"`
	Part       int    `json:"part"`
	Owner      string `json:"owner"` // this VM if it runs the batch, "" otherwise
	MinVersion int64  `json:"min_version"`
	Ended      bool   `json:"ended"`
	AgeMS      int64  `json:"age_ms"` // since this daemon read of it
	Samples    int    `json:"samples"`
	Completed  int    `json:"completed"`
	Dead       int    `json:"dead"`
	Running    int    `json:"running"` // here
}

// Sample is one sample of a batch.
type Sample struct {
	ID       string `json:"id"`
	Group    string `json:"group"`
	State    string `json:"state"`    // open, running, scoring, completed or dead
	Position int    `json:"position"` // among the results, -1 while open
	Events   int    `json:"events"`   // kept in the log
	Failures int    `json:"failures"`
	// RewardFailures are upstreams' answers that its reward call failed.
	RewardFailures int    `json:"reward_failures,omitempty"`
	Score          string `json:"score,omitempty"`
	Upstream       string `json:"upstream"` // that runs it for this daemon, "" for none
}

// BatchDetail is a batch with its samples.
type BatchDetail struct {
	Batch
	List []Sample `json:"list"`
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID         string           `json:"id"`
	Service    string           `json:"service"`
	Address    string           `json:"address"`
	DataCentre string           `json:"data_centre"`
	Leaving    bool             `json:"leaving"`
	Slots      int              `json:"slots"`
	Models     map[string]int64 `json:"models"` // weight version by model
	// Holder is the VM that claimed the upstream's address last, and Fence the
	// fencing number of that claim.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// Duties is how a daemon stands to what one daemon at a time does for the fleet.
type Duties struct {
	// Rank is the daemon's turn: 0 does the duties, higher ones stand in, -1 has no turn.
	Rank int `json:"rank"`
	// LastWindow is the newest window of usage whose report was taken, as far as this daemon
	// knows. 0: none, or the daemon has no turn.
	LastWindow int64     `json:"last_window"`
	Held       []Holder  `json:"held"`
	Servers    []Servers `json:"servers"`
}

// Holder is who claimed a duty last.
type Holder struct {
	Duty  string `json:"duty"`
	VM    string `json:"vm"`     // "": nobody lately
	Fence int64  `json:"fence"`  // fencing number of the claim
	AgeMS int64  `json:"age_ms"` // since the claim was read here
}

// Servers are those of a service in a data centre that aren't leaving.
type Servers struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Regular    int    `json:"regular"`
	Spot       int    `json:"spot"`
	// SpotOrdered is the last order of spot servers that this daemon knows, -1: none.
	SpotOrdered int `json:"spot_ordered"`
}

// Source answers for a daemon.
type Source interface {
	Status() Status
	Duties() Duties
	// Customers lists the keys in force by hash.
	Customers() []customers.ActiveKey
	Batches() []Batch
	// Batch returns one batch, false if this daemon knows none of that ID.
	Batch(id string) (BatchDetail, bool)
	Upstreams() []Upstream
}

// Package inspect defines the state that a daemon on the platform reports to operators:
// its batches, upstreams, configuration, duties, admission and views of the store. Each
// daemon reports only its own view. If two daemons disagree, the ages show which of them is behind.
package inspect

import (
	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/customers"
)

// Status describes a daemon's readiness, configuration and views of the store.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	// NotReady is the reason why the daemon isn't ready for new connections, "" if it is.
	NotReady        string        `json:"not_ready,omitempty"`
	Config          Configuration `json:"config"`
	Views           []View        `json:"views"`
	OwnedPartitions []int         `json:"owns"` // numbers of the partitions whose batches this daemon runs
}

// Configuration describes the configuration in force. Version 0 means that there is none.
type Configuration struct {
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"` // time since it took effect on this daemon
	Routes  int   `json:"routes"` // number of routes
}

// View describes the daemon's view of a partition of the store that it follows.
type View struct {
	Topic      string `json:"topic"`
	Part       int    `json:"part"`       // partition number
	NextOffset int64  `json:"next"`       // offset of the next record to read
	AgeMS      int64  `json:"age_ms"`     // time since the view was up to date, -1 if it never was
	InContact  bool   `json:"in_contact"` // whether the store answers reads
}

// Batch describes a batch of samples.
type Batch struct {
	ID         string `json:"id"`
	Model      string `json:"model"`
	Part       int    `json:"part"`        // number of the partition that holds the batch
	Owner      string `json:"owner"`       // this VM if it runs the batch, "" otherwise
	MinVersion int64  `json:"min_version"` // oldest weight version that may generate samples
	Ended      bool   `json:"ended"`
	AgeMS      int64  `json:"age_ms"`    // time since this daemon read the batch's record
	Samples    int    `json:"samples"`   // number of all samples
	Completed  int    `json:"completed"` // number of completed samples
	Dead       int    `json:"dead"`      // number of samples given up
	Running    int    `json:"running"`   // number of samples that this daemon runs
}

// Sample describes a sample of a batch.
type Sample struct {
	ID       string `json:"id"`
	Group    string `json:"group"`
	State    string `json:"state"`    // open, running, scoring, completed or dead
	Position int    `json:"position"` // index among the batch's results, -1 if there is no result yet
	Events   int    `json:"events"`   // number of generated events stored in the log
	Failures int    `json:"failures"` // number of runs that upstreams answered with a failure
	// RewardFailures is the number of reward calls that upstreams answered with a failure.
	RewardFailures int    `json:"reward_failures,omitempty"`
	Score          string `json:"score,omitempty"`
	Upstream       string `json:"upstream"` // incarnation that runs the sample for this daemon, "" if none
}

// BatchDetail is a batch with its samples.
type BatchDetail struct {
	Batch
	SampleDetails []Sample `json:"list"` // in the order of the batch
}

// Upstream describes an incarnation of an upstream.
type Upstream struct {
	ID         string           `json:"id"` // of the incarnation
	Service    string           `json:"service"`
	Address    string           `json:"address"`
	DataCentre string           `json:"data_centre"`
	Leaving    bool             `json:"leaving"` // shutting down: it gets no new work
	Slots      int              `json:"slots"`   // number of calls that it runs concurrently
	Models     map[string]int64 `json:"models"`  // weight version by model
	// DutyHolder is the VM with the last claim on the upstream's address, "" if there is none,
	// and Fence the fencing token of that claim.
	DutyHolder string `json:"holder"`
	Fence      int64  `json:"fence"`
}

// Duties describes the duties, which one daemon at a time performs for the fleet, and the
// daemon's rank among the candidates for them.
type Duties struct {
	// Rank is 0 for the daemon that performs the duties, higher for standbys, and -1 for a
	// daemon that isn't a candidate.
	Rank int `json:"rank"`
	// LastWindow is the newest usage window whose report the platform accepted, as far as
	// this daemon knows. It is 0 if there is none or the daemon isn't a candidate.
	LastWindow   int64     `json:"last_window"`
	Holders      []Holder  `json:"held"`    // last holder of each duty
	ServerCounts []Servers `json:"servers"` // of each service and data centre
}

// Holder describes the last claim on a duty.
type Holder struct {
	Duty  string `json:"duty"`
	VM    string `json:"vm"`     // VM with the last claim, "" if this daemon knows of none
	Fence int64  `json:"fence"`  // fencing token of the claim
	AgeMS int64  `json:"age_ms"` // time since this daemon read the claim
}

// Servers counts the servers of a service in a data centre, without those that are leaving.
type Servers struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Regular    int    `json:"regular"`
	Spot       int    `json:"spot"`
	// SpotOrdered is the number of spot servers in the last order that this daemon knows of,
	// -1 if it knows of none.
	SpotOrdered int `json:"spot_ordered"`
}

// Source reports the state of a daemon.
type Source interface {
	Status() Status
	Duties() Duties
	// Customers returns the keys in force, identified by their hashes.
	Customers() []customers.ActiveKey
	Batches() []Batch
	// Batch returns a batch with its samples, or false if this daemon knows no batch with
	// the ID.
	Batch(id string) (BatchDetail, bool)
	Upstreams() []Upstream
	// Load returns the admission to each service that calls were sent to.
	Load() []admission.Status
}

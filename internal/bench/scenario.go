package bench

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
)

// Scenario is one situation to measure. Times are scaled down: a step that
// takes minutes takes seconds here.
type Scenario struct {
	Name string
	// Story says in one line what happens.
	Story string
	Fleet Fleet
	// Callers are the teams' production traffic, Trainer the rollout job.
	Callers []Callers
	Trainer *Trainer
	// Duration is how long production calls begin.
	Duration time.Duration
	// PublishEvery is the time between weight versions published by another
	// trainer of the model; 0: none.
	PublishEvery time.Duration
	// CrashAt is the share of the last step's samples at which an engine
	// crashes; 0: none does. It doesn't come back.
	CrashAt float64
	// PoisonEvery is the time between two calls of a request that crashes each
	// engine that runs it; 0: none. Crashed engines are started again.
	PoisonEvery time.Duration
	// Measures are the names of what the table shows.
	Measures []string
}

// Fleet describes the upstreams and daemons.
type Fleet struct {
	DataCentres []string
	Daemons     int
	// Times has one entry for each engine: its token time over the median's.
	Times    []float64
	Services int
	Engine   Engine
	// RequestTimeout is the daemons' limit for a caller's request; 0: default.
	RequestTimeout time.Duration
	Team           Team
	// Other is a second team on the same engines; nil: none.
	Other *Team
}

// Engine holds what all engines of a fleet have in common.
type Engine struct {
	TokenTime      time.Duration
	Slowdown       float64 // for each further stream
	PrefixCapacity int
	PrefillPerByte time.Duration
	LoadLag        time.Duration
	EventLag       time.Duration
	EventGap       float64
}

// Team is a team's branch, as far as scenarios differ.
type Team struct {
	Name            string
	Bound           int64
	StalenessWeight float64
	GroupSize       int
}

// Callers is one team's production traffic.
type Callers struct {
	Team                 string
	Rate                 float64 // calls a second
	MinTokens, MaxTokens int
	Timeout              time.Duration
	// Misbehaves marks traffic whose own fate isn't measured.
	Misbehaves bool
}

// Trainer is the rollout job's load.
type Trainer struct {
	Steps     int
	WarmUp    int // first steps, not counted
	Prompts   int
	Lengths   trainer.Lengths
	TrainTime time.Duration
	// Publish has the trainer publish a version between steps.
	Publish bool
}

// every returns all scenarios, those that make bench leaves out too.
func every() []Scenario { return append(Scenarios(), costScenario(), quick()) }

// Quick returns the scenarios of make bench-quick.
func Quick() []Scenario { return []Scenario{quick()} }

// Find returns the scenario of a name.
func Find(name string) (Scenario, bool) {
	for _, s := range every() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

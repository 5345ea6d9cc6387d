package bench

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
)

// Scenario is a benchmark scenario. Times are scaled down: a rollout step that takes minutes in
// production takes seconds here.
type Scenario struct {
	Name string
	// Description describes the scenario in one line.
	Description string
	Fleet       Fleet
	// Traffic is the production traffic of the teams, Trainer the load of the rollout job,
	// nil: none.
	Traffic []Traffic
	Trainer *Trainer
	// Duration is how long production calls are started for.
	Duration time.Duration
	// PublishInterval is the time between weight versions that another trainer of the model
	// publishes, 0: none.
	PublishInterval time.Duration
	// CrashShare is the share of the last step's samples after which an engine crashes for
	// good, 0: none does.
	CrashShare float64
	// PoisonInterval is the time between copies of a poison request, which crashes each
	// engine that runs it, 0: none. Crashed engines are restarted.
	PoisonInterval time.Duration
	// Measures are the names of the measures in the table.
	Measures []string
}

// Fleet describes the upstreams and daemons.
type Fleet struct {
	DataCentres []string
	Daemons     int // number of daemons
	// RelativeTokenTimes has an entry for each engine: the ratio of its token time to that of
	// the median engine.
	RelativeTokenTimes []float64
	Services           int // number of services
	Engine             Engine
	// RequestTimeout is the daemons' time limit for a caller's request, 0: the default.
	RequestTimeout time.Duration
	Team           Team
	// OtherTeam is a second team that uses the same engines, nil: none.
	OtherTeam *Team
}

// Engine holds the parameters that all engines of a fleet have in common.
type Engine struct {
	TokenTime      time.Duration // between two tokens of a stream that runs alone
	Slowdown       float64       // share that each further stream adds to the token time
	PrefixCapacity int           // number of prompt prefixes that the cache holds
	PrefillPerByte time.Duration // time per byte of a prompt that isn't cached
	LoadLag        time.Duration // between two load reports
	EventLag       time.Duration // delay of cache events
	EventGap       float64       // share of cache events that are lost
}

// Team holds the settings of a team that differ between scenarios.
type Team struct {
	Name            string
	StalenessBound  int64   // in versions
	StalenessWeight float64 // 0 to 1
	GroupSize       int     // samples per prompt
}

// Traffic is the production traffic of one team.
type Traffic struct {
	Team                 string
	Rate                 float64 // calls per second
	MinTokens, MaxTokens int     // length of a completion
	Timeout              time.Duration
	// Unmeasured excludes the traffic from the measures.
	Unmeasured bool
}

// Trainer is the load of the rollout job.
type Trainer struct {
	Steps       int
	WarmUpSteps int // first steps, which aren't measured
	Prompts     int // per step
	Lengths     trainer.Lengths
	TrainTime   time.Duration // training time after each step
	// Publish makes the trainer publish a version after each step.
	Publish bool
}

// allScenarios returns all scenarios, including those that Scenarios leaves out.
func allScenarios() []Scenario { return append(Scenarios(), costScenario(), quick()) }

// QuickScenarios returns the scenarios of "make bench-quick".
func QuickScenarios() []Scenario { return []Scenario{quick()} }

// FindScenario returns the scenario with a name and whether it exists.
func FindScenario(name string) (Scenario, bool) {
	for _, s := range allScenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

package bench

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
)

// Ratios of the engines' token times to that of the median engine.
var (
	equalTimes = []float64{1, 1, 1, 1, 1, 1, 1, 1, 1}
	// unequalTimes follows the distribution in the figures of PAL (see package routing): 0.9
	// to 2.5 times the median, most of them near the median and a few much slower.
	unequalTimes = []float64{0.9, 0.95, 1, 1, 1, 1.1, 1.3, 1.8, 2.5}
)

// defaultEngine takes 10 ms per token for one stream and twice that for 26 streams.
var defaultEngine = Engine{
	TokenTime:      10 * time.Millisecond,
	Slowdown:       0.04,
	PrefixCapacity: 6,
	PrefillPerByte: 100 * time.Microsecond,
	LoadLag:        500 * time.Millisecond,
}

// koperasiFleet returns the fleet of the team koperasi in three data centres. times has a relative
// token time for each engine.
func koperasiFleet(times []float64) Fleet {
	return Fleet{
		DataCentres:        []string{"semarang", "surabaya", "bandung"},
		Daemons:            6,
		RelativeTokenTimes: times,
		Services:           3,
		Engine:             defaultEngine,
		Team:               Team{Name: "koperasi", StalenessBound: 2, StalenessWeight: 0.7, GroupSize: 4},
	}
}

// kitakazeFleet returns the fleet of the team kitakaze in four data centres. times has a relative
// token time for each engine.
func kitakazeFleet(times []float64) Fleet {
	return Fleet{
		DataCentres:        []string{"sapporo-a", "sapporo-b", "asahikawa", "hakodate"},
		Daemons:            8,
		RelativeTokenTimes: times,
		Services:           4,
		Engine:             defaultEngine,
		Team:               Team{Name: "kitakaze", StalenessBound: 2, StalenessWeight: 0.2, GroupSize: 4},
	}
}

// productionTraffic returns the usual production traffic of a team. A response takes at least 80
// to 320 ms.
func productionTraffic(team string, rate float64) Traffic {
	return Traffic{Team: team, Rate: rate, MinTokens: 8, MaxTokens: 32, Timeout: 20 * time.Second}
}

var (
	idleMeasures       = []string{"idle_median", "idle_worst"}
	productionMeasures = []string{"latency_p50", "latency_p99", "ttft_p50", "ttft_p99", "error_rate"}
	stalenessMeasures  = []string{"staleness_mean", "staleness_max", "past_bound", "thrown_away"}
)

func concatMeasures(groups ...[]string) []string { return slices.Concat(groups...) }

// Scenarios returns the scenarios of "make bench" except cost, in the order of the table.
func Scenarios() []Scenario {
	all := []Scenario{steady(), burst(), stragglers(), unequalEngines(), stragglersUnequal(), crash()}
	all = append(all, frequentVersions("versions-idle", kitakazeFleet(equalTimes), 0), frequentVersions("versions-fresh", koperasiFleet(equalTimes), 1))
	return append(all, lateReports(), overload(), twoTeams(), poison())
}

func steady() Scenario {
	return Scenario{
		Name:        "steady",
		Description: "production traffic at a third of the engines' capacity, and small rollout steps",
		Fleet:       koperasiFleet(equalTimes),
		Traffic:     []Traffic{productionTraffic("koperasi", 150)},
		Trainer:     &Trainer{Steps: 3, WarmUpSteps: 1, Prompts: 16, Lengths: trainer.Lengths{Min: 40, Max: 80}, TrainTime: 300 * time.Millisecond},
		Duration:    5 * time.Second,
		Measures:    concatMeasures(idleMeasures, productionMeasures, stalenessMeasures, []string{"prefix_hits", "wasted"}),
	}
}

func burst() Scenario {
	return Scenario{
		Name:        "burst",
		Description: "512 samples requested at once in addition to production traffic",
		Fleet:       kitakazeFleet(equalTimes),
		Traffic:     []Traffic{productionTraffic("kitakaze", 60)},
		Trainer:     &Trainer{Steps: 3, WarmUpSteps: 2, Prompts: 128, Lengths: trainer.Lengths{Min: 40, Max: 80}, TrainTime: 200 * time.Millisecond},
		Duration:    6 * time.Second,
		Measures:    concatMeasures(productionMeasures, idleMeasures, []string{"prefix_hits", "queue_time"}),
	}
}

func stragglers() Scenario {
	return Scenario{
		Name:        "stragglers",
		Description: "long-tailed lengths: the completion of one prompt in 25 is six times as long",
		Fleet:       kitakazeFleet(equalTimes),
		Traffic:     []Traffic{productionTraffic("kitakaze", 20)},
		Trainer:     &Trainer{Steps: 2, WarmUpSteps: 1, Prompts: 64, Lengths: trainer.Lengths{Min: 20, Max: 60, Tail: 240, TailShare: 0.04}},
		Duration:    5 * time.Second,
		Measures:    concatMeasures(idleMeasures, stalenessMeasures, []string{"wasted"}),
	}
}

func unequalEngines() Scenario {
	return Scenario{
		Name:        "unequal",
		Description: "engines of one kind whose token times are 0.9 to 2.5 times the median",
		Fleet:       koperasiFleet(unequalTimes),
		Traffic:     []Traffic{productionTraffic("koperasi", 20)},
		Trainer:     &Trainer{Steps: 3, WarmUpSteps: 1, Prompts: 48, Lengths: trainer.Lengths{Min: 40, Max: 80}},
		Duration:    5 * time.Second,
		Measures:    concatMeasures(idleMeasures, productionMeasures, []string{"wasted"}),
	}
}

func stragglersUnequal() Scenario {
	s := unequalEngines()
	s.Name = "stragglers-unequal"
	s.Description = "long-tailed lengths on engines of unequal speed, with production traffic"
	s.Trainer.Lengths = trainer.Lengths{Min: 20, Max: 60, Tail: 160, TailShare: 0.04}
	s.Trainer.Steps = 2
	s.Measures = concatMeasures(idleMeasures, productionMeasures, stalenessMeasures, []string{"prefix_hits", "wasted"})
	return s
}

// quick is stragglersUnequal with a single, smaller step.
func quick() Scenario {
	s := stragglersUnequal()
	s.Name = "quick"
	s.Trainer = &Trainer{Steps: 1, Prompts: 48, Lengths: trainer.Lengths{Min: 20, Max: 60, Tail: 100, TailShare: 0.04}}
	s.Traffic = []Traffic{productionTraffic("koperasi", 40)}
	s.Duration = 3 * time.Second
	return s
}

func crash() Scenario {
	return Scenario{
		Name:        "crash",
		Description: "an engine crashes for good when half of the step's samples have been delivered",
		Fleet:       kitakazeFleet(equalTimes),
		Traffic:     []Traffic{productionTraffic("kitakaze", 20)},
		Trainer:     &Trainer{Steps: 3, WarmUpSteps: 2, Prompts: 48, Lengths: trainer.Lengths{Min: 60, Max: 160}},
		CrashShare:  0.5,
		Duration:    6 * time.Second,
		Measures:    concatMeasures(idleMeasures, []string{"error_rate", "wasted"}, stalenessMeasures),
	}
}

// frequentVersions publishes weight versions throughout the run. It is used with both extremes of
// the weight of staleness against idle time.
func frequentVersions(name string, fleet Fleet, weight float64) Scenario {
	fleet.Team.StalenessBound = 3
	fleet.Team.StalenessWeight = weight
	return Scenario{
		Name:            name,
		Description:     "a new weight version every 2.5 s; the team's staleness weight is " + map[bool]string{true: "1", false: "0"}[weight > 0.5],
		Fleet:           fleet,
		Traffic:         []Traffic{productionTraffic(fleet.Team.Name, 20)},
		Trainer:         &Trainer{Steps: 3, WarmUpSteps: 1, Prompts: 48, Lengths: trainer.Lengths{Min: 40, Max: 120}},
		PublishInterval: 2500 * time.Millisecond,
		Duration:        7 * time.Second,
		Measures:        concatMeasures(idleMeasures, stalenessMeasures, []string{"mixed", "wasted"}),
	}
}

func lateReports() Scenario {
	fleet := koperasiFleet(equalTimes)
	fleet.Engine.LoadLag = 2 * time.Second
	fleet.Engine.EventLag = time.Second
	fleet.Engine.EventGap = 0.2
	return Scenario{
		Name:        "late-reports",
		Description: "load reports 2 s late, cache events late and incomplete, caches that hold a quarter of the prefixes",
		Fleet:       fleet,
		Traffic:     []Traffic{productionTraffic("koperasi", 150)},
		Duration:    4 * time.Second,
		Measures:    concatMeasures(productionMeasures, []string{"prefix_hits"}),
	}
}

func overload() Scenario {
	fleet := kitakazeFleet(equalTimes)
	fleet.Engine.TokenTime = 20 * time.Millisecond
	fleet.Engine.Slowdown = 0.1
	fleet.RequestTimeout = 2 * time.Second
	calls := productionTraffic("kitakaze", 380) // the engines can complete at most 187 per second
	calls.MinTokens, calls.MaxTokens, calls.Timeout = 16, 32, 2200*time.Millisecond
	return Scenario{
		Name:        "overload",
		Description: "twice as many calls as the engines can complete; callers time out after 2 s",
		Fleet:       fleet,
		Traffic:     []Traffic{calls},
		Duration:    5 * time.Second,
		Measures:    concatMeasures([]string{"goodput", "accepted_failed", "refused", "wasted"}, productionMeasures),
	}
}

func twoTeams() Scenario {
	fleet := koperasiFleet(equalTimes)
	fleet.Engine.TokenTime = 20 * time.Millisecond
	fleet.Engine.Slowdown = 0.1
	fleet.RequestTimeout = 4 * time.Second
	fleet.OtherTeam = &Team{Name: "flooder", StalenessBound: 2, GroupSize: 4}
	flood := productionTraffic("flooder", 300)
	flood.Unmeasured, flood.Timeout = true, 4200*time.Millisecond
	calls := productionTraffic("koperasi", 30)
	calls.Timeout = 4200 * time.Millisecond
	return Scenario{
		Name:        "teams",
		Description: "a team sends ten times the calls of another, more than the engines can complete; the other team is measured",
		Fleet:       fleet,
		Traffic:     []Traffic{calls, flood},
		Duration:    5 * time.Second,
		Measures:    concatMeasures(productionMeasures, []string{"goodput", "queue_time"}),
	}
}

func poison() Scenario {
	return Scenario{
		Name:           "poison",
		Description:    "a request that crashes each engine that runs it, repeated every 0.7 s; engines restart after 1 s",
		Fleet:          kitakazeFleet(equalTimes),
		Traffic:        []Traffic{productionTraffic("kitakaze", 60)},
		Trainer:        &Trainer{Steps: 1, WarmUpSteps: 0, Prompts: 48, Lengths: trainer.Lengths{Min: 40, Max: 80}},
		PoisonInterval: 700 * time.Millisecond,
		Duration:       5 * time.Second,
		Measures:       concatMeasures([]string{"engine_deaths"}, idleMeasures, productionMeasures, []string{"wasted"}),
	}
}

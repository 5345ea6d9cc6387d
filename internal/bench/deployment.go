package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Names and secrets that all scenarios share.
const (
	modelName = "drafts"
	jobName   = "bench"
	// AdminToken and PeerToken are the daemons' secrets. They needn't be secret, since the
	// processes listen on loopback only and run for seconds.
	AdminToken = "admin-token-of-the-demo"
	PeerToken  = "peer-token-of-the-demo"
)

// Deployment describes the processes of one run. They listen on loopback, at fixed offsets from
// BasePort.
type Deployment struct {
	Scenario Scenario
	Policy   string // "naive" or "ours"
	BasePort int    // first port
}

// Offsets of ports from Deployment.BasePort.
const (
	logPort         = 1
	weightsPort     = 2
	vmListPort      = 3
	daemonBasePort  = 100
	engineBasePort  = 300
	serviceBasePort = 390
	scorerPort      = 399
	portsPerDaemon  = 4 // caller, trainer, admin and peer port
)

func (d Deployment) address(offset int) string { return "127.0.0.1:" + strconv.Itoa(d.BasePort+offset) }
func (d Deployment) url(offset int) string     { return "http://" + d.address(offset) }

// CallerURL, TrainerURL and AdminURL return URLs of daemon n, counted from 1.
func (d Deployment) CallerURL(n int) string  { return d.url(daemonBasePort + portsPerDaemon*n) }
func (d Deployment) TrainerURL(n int) string { return d.url(daemonBasePort + portsPerDaemon*n + 1) }
func (d Deployment) AdminURL(n int) string   { return d.url(daemonBasePort + portsPerDaemon*n + 2) }

// EngineURL returns the URL of engine n, counted from 1.
func (d Deployment) EngineURL(n int) string { return d.url(engineBasePort + n) }

// WeightsURL returns the URL of the weight store.
func (d Deployment) WeightsURL() string { return d.url(weightsPort) }

// VMListURL returns the URL of the VM list.
func (d Deployment) VMListURL() string { return d.url(vmListPort) }

// dataCentre returns the data centre of process n of a kind.
func (d Deployment) dataCentre(n int) string {
	dataCentres := d.Scenario.Fleet.DataCentres
	return dataCentres[n%len(dataCentres)]
}

// Process is a process that a run needs.
type Process struct {
	Name    string
	Restart bool     // start it again after a crash
	Args    []string // program and its arguments
}

// Processes returns all processes, in the order in which they must be started.
func (d Deployment) Processes() []Process {
	fleet := d.Scenario.Fleet
	list := []Process{
		{Name: "log", Args: []string{"standin", "log", "--listen", d.address(logPort)}},
		{Name: "weights", Args: []string{"standin", "weights", "--listen", d.address(weightsPort), "--models", modelName + "=1", "--fetch-rate", "40"}},
		{Name: "vmlist", Args: []string{"standin", "vmlist", "--listen", d.address(vmListPort), "--lag", "500ms"}},
		{Name: "scorer", Args: []string{"standin", "scorer", "--listen", d.address(scorerPort), "--latency", "2ms"}},
	}
	for n := range fleet.Services {
		list = append(list, Process{Name: fmt.Sprintf("counter-%d", n+1), Args: []string{
			"standin", "service", "--listen", d.address(serviceBasePort + n), "--latency", "5ms"}})
	}
	for n := range fleet.RelativeTokenTimes {
		list = append(list, d.engineProcess(n+1))
	}
	for n := range fleet.Daemons {
		list = append(list, d.daemonProcess(n+1))
	}
	return list
}

func (d Deployment) engineProcess(n int) Process {
	fleet := d.Scenario.Fleet
	e := fleet.Engine
	return Process{Name: fmt.Sprintf("engine-%d", n), Restart: d.Scenario.PoisonInterval > 0, Args: []string{
		"standin", "engine", "--listen", d.address(engineBasePort + n), "--models", modelName + "=1",
		"--weight-store", d.WeightsURL(), "--check-fencing",
		"--token-time", e.TokenTime.String(), "--slowdown", fmt.Sprint(e.Slowdown),
		"--speed", fmt.Sprint(1 / fleet.RelativeTokenTimes[n-1]), "--max-running", "4096",
		"--prefix-capacity", strconv.Itoa(e.PrefixCapacity), "--prefill-per-byte", e.PrefillPerByte.String(),
		"--load-lag", e.LoadLag.String(), "--event-lag", e.EventLag.String(), "--event-gap", fmt.Sprint(e.EventGap),
		"--load-time", "100ms", "--switch-time", "20ms", "--seed", strconv.Itoa(n),
	}}
}

func (d Deployment) daemonProcess(n int) Process {
	first := daemonBasePort + portsPerDaemon*n
	args := []string{
		"dogwoodflowd", "--vm", fmt.Sprintf("entry-%d", n), "--data-centre", d.dataCentre(n),
		"--caller-address", d.address(first), "--trainer-address", d.address(first + 1),
		"--admin-address", d.address(first + 2), "--peer-address", d.address(first + 3),
		"--log-url", d.url(logPort), "--weights-url", d.WeightsURL(), "--vm-list-url", d.VMListURL(),
		"--log-retention", "1h", "--log-level", "warn", "--policy", d.Policy,
	}
	if limit := d.Scenario.Fleet.RequestTimeout; limit > 0 {
		args = append(args, "--request-timeout", limit.String())
	}
	return Process{Name: fmt.Sprintf("entry-%d", n), Args: args}
}

// VMListJSON returns the JSON document that registers the daemons with the VM list.
func (d Deployment) VMListJSON() ([]byte, error) {
	type vm struct {
		Name        string `json:"name"`
		Role        string `json:"role"`
		DataCentre  string `json:"data_centre"`
		PeerAddress string `json:"peer_address"`
	}
	var list []vm
	for n := 1; n <= d.Scenario.Fleet.Daemons; n++ {
		list = append(list, vm{fmt.Sprintf("entry-%d", n), "entry", d.dataCentre(n), d.address(daemonBasePort + portsPerDaemon*n + 3)})
	}
	return json.Marshal(map[string]any{"vms": list})
}

// Branches returns the configuration as JSON, by branch.
func (d Deployment) Branches() (map[config.Branch][]byte, error) {
	values := map[config.Branch]any{"fleet": d.fleetConfig()}
	for _, team := range d.teams() {
		values[config.Branch("teams/"+team.Name)] = teamConfig(team)
	}
	out := map[config.Branch][]byte{}
	for branch, value := range values {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("bench: branch %s: %w", branch, err)
		}
		out[branch] = raw
	}
	return out, nil
}

func (d Deployment) teams() []Team {
	fleet := d.Scenario.Fleet
	if fleet.OtherTeam == nil {
		return []Team{fleet.Team}
	}
	return []Team{fleet.Team, *fleet.OtherTeam}
}

func (d Deployment) fleetConfig() config.Fleet {
	fleet := d.Scenario.Fleet
	engines := map[ident.Upstream]config.Upstream{}
	for n := 1; n <= len(fleet.RelativeTokenTimes); n++ {
		engines[ident.Upstream(fmt.Sprintf("engine-%d", n))] = config.Upstream{
			Address: d.address(engineBasePort + n), DataCentre: ident.DataCentre(d.dataCentre(n)), ChecksFencing: true,
		}
	}
	services := map[ident.Upstream]config.Upstream{}
	for n := range fleet.Services {
		services[ident.Upstream(fmt.Sprintf("counter-%d", n+1))] = config.Upstream{
			Address: d.address(serviceBasePort + n), DataCentre: ident.DataCentre(d.dataCentre(n)),
		}
	}
	scorer := config.Upstream{Address: d.address(scorerPort), DataCentre: ident.DataCentre(d.dataCentre(0))}
	return config.Fleet{
		ProductionReserve: 0.3,
		Groups: map[string]config.Group{
			"engines": {Kind: config.KindEngine, Upstreams: engines},
			"counter": {Kind: config.KindService, Upstreams: services},
			"scorers": {Kind: config.KindScorer, Upstreams: map[ident.Upstream]config.Upstream{"scorer-1": scorer}},
		},
	}
}

// maxTokens is the configured maximum length of a completion.
const maxTokens = 4096

func teamConfig(t Team) config.Team {
	key := func(role config.Role) config.Key {
		sum := sha256.Sum256([]byte(apiKey(t.Name, role)))
		return config.Key{SHA256: hex.EncodeToString(sum[:]), Role: role}
	}
	return config.Team{
		Keys: map[string]config.Key{"caller": key(config.RoleCaller), "trainer": key(config.RoleTrainer)},
		Models: map[ident.Model]config.Model{
			modelName: {Group: "engines", StalenessBound: t.StalenessBound, MaxTokens: maxTokens},
		},
		Routes: map[string]config.Route{},
		Jobs: map[ident.Job]config.Job{
			jobName: {Model: modelName, Scorer: "scorers", GroupSize: t.GroupSize, MaxTokens: maxTokens},
		},
		Limits:          config.Limits{Weight: 1, MaxQueue: 5000, MaxBodyBytes: 1 << 20},
		StalenessWeight: t.StalenessWeight,
	}
}

// apiKey returns a team's API key for a role.
func apiKey(team string, role config.Role) string { return "bench-" + string(role) + "-of-" + team }

// settleTime is how long daemons need after they are ready to find their peers and engines.
const settleTime = 500 * time.Millisecond

// warmUpTime is the duration of the unmeasured calls before a run.
const warmUpTime = 1200 * time.Millisecond

// trainerDelay is the time from the start of the production traffic to the first rollout step,
// so that the daemons have statistics of the traffic by then.
const trainerDelay = 500 * time.Millisecond

// BranchOrder returns the order in which the branches must be published: those of teams refer to
// groups of the fleet branch.
func (d Deployment) BranchOrder() []config.Branch {
	order := []config.Branch{"fleet"}
	for _, team := range d.teams() {
		order = append(order, config.Branch("teams/"+team.Name))
	}
	return order
}

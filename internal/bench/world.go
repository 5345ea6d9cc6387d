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

// Names that all scenarios share.
const (
	modelName = "drafts"
	jobName   = "bench"
	// AdminToken and PeerToken are the daemons' secrets in the bench; they guard
	// nothing but processes on loopback that live for seconds.
	AdminToken = "admin-token-of-the-demo"
	PeerToken  = "peer-token-of-the-demo"
)

// World says where the processes of one run listen: all ports are offsets from
// Base, on loopback.
type World struct {
	Scenario Scenario
	Policy   string // "naive" or "ours"
	Base     int    // first port
}

// Offsets of ports.
const (
	logPort      = 1
	weightsPort  = 2
	vmsPort      = 3
	daemonPorts  = 100
	engineBase   = 300
	serviceBase  = 390
	scorerBase   = 399
	portsADaemon = 4
)

func (w World) address(offset int) string { return "127.0.0.1:" + strconv.Itoa(w.Base+offset) }
func (w World) url(offset int) string     { return "http://" + w.address(offset) }

// CallerURL, TrainerURL and AdminURL are daemon n's, counted from 1.
func (w World) CallerURL(n int) string  { return w.url(daemonPorts + portsADaemon*n) }
func (w World) TrainerURL(n int) string { return w.url(daemonPorts + portsADaemon*n + 1) }
func (w World) AdminURL(n int) string   { return w.url(daemonPorts + portsADaemon*n + 2) }

// EngineURL is engine n's, counted from 1.
func (w World) EngineURL(n int) string { return w.url(engineBase + n) }

// WeightsURL is the weight store's.
func (w World) WeightsURL() string { return w.url(weightsPort) }

// VMListURL is the VM list's.
func (w World) VMListURL() string { return w.url(vmsPort) }

func (w World) dataCentre(n int) string {
	centres := w.Scenario.Fleet.DataCentres
	return centres[n%len(centres)]
}

// Process is one process that a run needs.
type Process struct {
	Name    string
	Restart bool // started again after a crash
	Args    []string
}

// Processes returns all, in the order of their start.
func (w World) Processes() []Process {
	fleet := w.Scenario.Fleet
	list := []Process{
		{Name: "log", Args: []string{"standin", "log", "--listen", w.address(logPort)}},
		{Name: "weights", Args: []string{"standin", "weights", "--listen", w.address(weightsPort), "--models", modelName + "=1", "--fetch-rate", "40"}},
		{Name: "vmlist", Args: []string{"standin", "vmlist", "--listen", w.address(vmsPort), "--lag", "500ms"}},
		{Name: "scorer", Args: []string{"standin", "scorer", "--listen", w.address(scorerBase), "--latency", "2ms"}},
	}
	for n := range fleet.Services {
		list = append(list, Process{Name: fmt.Sprintf("counter-%d", n+1), Args: []string{
			"standin", "service", "--listen", w.address(serviceBase + n), "--latency", "5ms"}})
	}
	for n := range fleet.Times {
		list = append(list, w.engine(n+1))
	}
	for n := range fleet.Daemons {
		list = append(list, w.daemon(n+1))
	}
	return list
}

func (w World) engine(n int) Process {
	fleet := w.Scenario.Fleet
	e := fleet.Engine
	return Process{Name: fmt.Sprintf("engine-%d", n), Restart: w.Scenario.PoisonEvery > 0, Args: []string{
		"standin", "engine", "--listen", w.address(engineBase + n), "--models", modelName + "=1",
		"--weight-store", w.WeightsURL(), "--check-fencing",
		"--token-time", e.TokenTime.String(), "--slowdown", fmt.Sprint(e.Slowdown),
		"--speed", fmt.Sprint(1 / fleet.Times[n-1]), "--max-running", "4096",
		"--prefix-capacity", strconv.Itoa(e.PrefixCapacity), "--prefill-per-byte", e.PrefillPerByte.String(),
		"--load-lag", e.LoadLag.String(), "--event-lag", e.EventLag.String(), "--event-gap", fmt.Sprint(e.EventGap),
		"--load-time", "100ms", "--switch-time", "20ms", "--seed", strconv.Itoa(n),
	}}
}

func (w World) daemon(n int) Process {
	first := daemonPorts + portsADaemon*n
	args := []string{
		"dogwoodflowd", "--vm", fmt.Sprintf("entry-%d", n), "--data-centre", w.dataCentre(n),
		"--caller-address", w.address(first), "--trainer-address", w.address(first + 1),
		"--admin-address", w.address(first + 2), "--peer-address", w.address(first + 3),
		"--log-url", w.url(logPort), "--weights-url", w.WeightsURL(), "--vm-list-url", w.VMListURL(),
		"--log-retention", "1h", "--log-level", "warn", "--policy", w.Policy,
	}
	if limit := w.Scenario.Fleet.RequestTimeout; limit > 0 {
		args = append(args, "--request-timeout", limit.String())
	}
	return Process{Name: fmt.Sprintf("entry-%d", n), Args: args}
}

// VMs is the body that tells the VM list of the daemons.
func (w World) VMs() ([]byte, error) {
	type vm struct {
		Name        string `json:"name"`
		Role        string `json:"role"`
		DataCentre  string `json:"data_centre"`
		PeerAddress string `json:"peer_address"`
	}
	var list []vm
	for n := 1; n <= w.Scenario.Fleet.Daemons; n++ {
		list = append(list, vm{fmt.Sprintf("entry-%d", n), "entry", w.dataCentre(n), w.address(daemonPorts + portsADaemon*n + 3)})
	}
	return json.Marshal(map[string]any{"vms": list})
}

// Branches returns the configuration: JSON by branch.
func (w World) Branches() (map[config.Branch][]byte, error) {
	values := map[config.Branch]any{"fleet": w.fleetBranch()}
	for _, team := range w.teams() {
		values[config.Branch("teams/"+team.Name)] = teamBranch(team)
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

func (w World) teams() []Team {
	fleet := w.Scenario.Fleet
	if fleet.Other == nil {
		return []Team{fleet.Team}
	}
	return []Team{fleet.Team, *fleet.Other}
}

func (w World) fleetBranch() config.Fleet {
	fleet := w.Scenario.Fleet
	engines := map[ident.Upstream]config.Upstream{}
	for n := 1; n <= len(fleet.Times); n++ {
		engines[ident.Upstream(fmt.Sprintf("engine-%d", n))] = config.Upstream{
			Address: w.address(engineBase + n), DataCentre: ident.DataCentre(w.dataCentre(n)), ChecksFencing: true,
		}
	}
	services := map[ident.Upstream]config.Upstream{}
	for n := range fleet.Services {
		services[ident.Upstream(fmt.Sprintf("counter-%d", n+1))] = config.Upstream{
			Address: w.address(serviceBase + n), DataCentre: ident.DataCentre(w.dataCentre(n)),
		}
	}
	scorer := config.Upstream{Address: w.address(scorerBase), DataCentre: ident.DataCentre(w.dataCentre(0))}
	return config.Fleet{
		ProductionReserve: 0.3,
		Groups: map[string]config.Group{
			"engines": {Kind: config.KindEngine, Upstreams: engines},
			"counter": {Kind: config.KindService, Upstreams: services},
			"scorers": {Kind: config.KindScorer, Upstreams: map[ident.Upstream]config.Upstream{"scorer-1": scorer}},
		},
	}
}

const maxTokens = 4096

func teamBranch(t Team) config.Team {
	key := func(role config.Role) config.Key {
		sum := sha256.Sum256([]byte(keyOf(t.Name, role)))
		return config.Key{SHA256: hex.EncodeToString(sum[:]), Role: role}
	}
	return config.Team{
		Keys: map[string]config.Key{"caller": key(config.RoleCaller), "trainer": key(config.RoleTrainer)},
		Models: map[ident.Model]config.Model{
			modelName: {Group: "engines", StalenessBound: t.Bound, MaxTokens: maxTokens},
		},
		Routes: map[string]config.Route{},
		Jobs: map[ident.Job]config.Job{
			jobName: {Model: modelName, Scorer: "scorers", GroupSize: t.GroupSize, MaxTokens: maxTokens},
		},
		Limits:          config.Limits{Weight: 1, MaxQueue: 5000, MaxBodyBytes: 1 << 20},
		StalenessWeight: t.StalenessWeight,
	}
}

func keyOf(team string, role config.Role) string { return "bench-" + string(role) + "-of-" + team }

// settle is the time from readiness until daemons know their peers and engines.
const settle = 500 * time.Millisecond

// warmUpTime is how long unmeasured calls precede a run.
const warmUpTime = 1200 * time.Millisecond

// headStart is how long production runs before the first step, so that a step
// meets daemons that know their traffic.
const headStart = 500 * time.Millisecond

// BranchOrder is the order in which branches are published: teams name groups.
func (w World) BranchOrder() []config.Branch {
	order := []config.Branch{"fleet"}
	for _, team := range w.teams() {
		order = append(order, config.Branch("teams/"+team.Name))
	}
	return order
}

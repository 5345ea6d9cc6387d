package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
)

const (
	team       = "koperasi"
	job        = "clerk"
	dataCentre = "surabaya" // the daemon's, see scripts/lib.sh
	secretKey  = "key-of-the-measurement"
	// sampleTokens is the length of a step's samples, samplesPerGroup their group's size.
	sampleTokens    = 8
	samplesPerGroup = 16
	// engineConcurrency keeps limits out of the measurement.
	engineConcurrency = 512
)

// publish appends one change to the configuration stream.
func (w *World) publish(ctx context.Context, branch config.Branch, path string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	record := config.Record{Change: &config.Change{
		ID: fmt.Sprintf("change-%d", time.Now().UnixNano()), Branch: branch, Base: w.bases[branch],
		Ops: []config.Op{{Path: path, Value: raw}}, Author: "capacity", At: time.Now(),
	}}
	data, err := config.EncodeRecord(record)
	if err != nil {
		return err
	}
	offset, err := w.ownLog.Append(ctx, infra.StreamConfig, [][]byte{data})
	if err != nil {
		return err
	}
	w.bases[branch] = offset
	return nil
}

// publishBase puts n engines, a service, a scorer and the team into force.
func (w *World) publishBase(ctx context.Context, engines int) error {
	if err := w.publish(ctx, config.FleetBranch, "", w.fleet(engines)); err != nil {
		return err
	}
	return w.publish(ctx, config.TeamBranch(team), "", teamBranch())
}

func (w *World) fleet(engines int) config.Fleet {
	groups := map[string]config.Group{
		engineGroup:  {Kind: config.KindEngine, Upstreams: map[ident.Upstream]config.Upstream{}},
		serviceGroup: {Kind: config.KindService, Upstreams: map[ident.Upstream]config.Upstream{"counter-1": w.upstream(engines)}},
		scorerGroup:  {Kind: config.KindScorer, Upstreams: map[ident.Upstream]config.Upstream{"scorer-1": w.upstream(engines + 1)}},
	}
	for i := range engines {
		groups[engineGroup].Upstreams[engineName(i)] = w.upstream(i)
	}
	return config.Fleet{Groups: groups, ProductionReserve: 0.3}
}

func (w *World) upstream(i int) config.Upstream {
	return config.Upstream{
		Address: w.options.address(portUpstream + i), DataCentre: dataCentre,
		ChecksFencing: true, MaxConcurrency: engineConcurrency,
	}
}

func teamBranch() config.Team {
	hash := sha256.Sum256([]byte(secretKey))
	return config.Team{
		Keys:   map[string]config.Key{"all": {SHA256: hex.EncodeToString(hash[:]), Role: config.RoleOperator}},
		Models: map[ident.Model]config.Model{model: {Group: engineGroup, StalenessBound: 1, MaxTokens: maxAnswerTokens}},
		Routes: map[string]config.Route{"booking": {Path: "/booking", Methods: []string{"POST"}, Group: serviceGroup, TimeoutMillis: 20_000}},
		Jobs:   map[ident.Job]config.Job{job: newJob()},
		Limits: config.Limits{Weight: 1, MaxQueue: 50_000, MaxBodyBytes: 1 << 20},
	}
}

func newJob() config.Job {
	return config.Job{Model: model, Scorer: scorerGroup, GroupSize: samplesPerGroup, MaxTokens: sampleTokens}
}

// readyTimeout bounds the wait for the daemon.
const readyTimeout = 20 * time.Second

// awaitReady waits until the daemon has a configuration in force.
func (w *World) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		response, err := http.Get(w.options.url(portCaller) + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !pause(ctx, 50*time.Millisecond) {
			return errors.Join(errors.New("capacity: the daemon isn't ready"), err)
		}
	}
}

// pause waits; false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package rollouts

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

// stepKey names a step.
type stepKey struct {
	team ident.Team
	job  ident.Job
	step ident.Step
}

// ownerKey is the key by which a job's owner is found.
func (k stepKey) ownerKey() string { return string(k.team) + "/" + string(k.job) }

// String returns the key as it stands in logs.
func (k stepKey) String() string { return k.ownerKey() + "/" + strconv.FormatInt(int64(k.step), 10) }

// shardCount spreads the steps over locks. A lock is held for map accesses only.
const shardCount = 16

type shard struct {
	mu    sync.Mutex
	steps map[stepKey]*runner
}

// Manager holds the steps of this daemon and forwards to their owners elsewhere.
// It is safe for concurrent use.
type Manager struct {
	options  Options
	shards   [shardCount]shard
	held     atomic.Int64 // steps, over all shards
	bytes    atomic.Int64 // of prompts and completions, over all steps
	draining chan struct{}
	drain    sync.Once
	base     context.Context // of all work
	stop     context.CancelFunc
	runners  sync.WaitGroup
}

var (
	stepsHeld       = metrics.Gauge("rollout_steps_held")
	bytesHeld       = metrics.Gauge("rollout_bytes_held")
	stepsCreated    = metrics.Counter("rollout_steps_created")
	stepsIdle       = metrics.Counter("rollout_steps_dropped_idle")
	stepsCancelled  = metrics.Counter("rollout_steps_cancelled")
	stepsGivenUp    = metrics.Counter("rollout_steps_given_up_draining")
	pullsAnswered   = metrics.Counter("rollout_pulls_answered")
	pullsUnknown    = metrics.Counter("rollout_pulls_of_unknown_steps")
	pullsSuperseded = metrics.Counter("rollout_pulls_superseded")
	forwards        = metrics.Counter("rollout_forwards")
	forwardsFailed  = metrics.Counter("rollout_forwards_failed")
	attemptsStarted = metrics.Counter("rollout_attempts")
	attemptsFailed  = metrics.Counter("rollout_attempts_failed")
	samplesStale    = metrics.Counter("rollout_samples_stale")
	unlabelled      = metrics.Counter("rollout_samples_unlabelled")
	groupsFailed    = metrics.Counter("rollout_groups_failed")
	groupsOffered   = metrics.Counter("rollout_groups_offered")
)

// New returns a Manager without steps.
func New(options Options) *Manager {
	m := &Manager{
		options:  options.withDefaults(),
		draining: make(chan struct{}),
	}
	m.base, m.stop = context.WithCancel(context.Background())
	for i := range m.shards {
		m.shards[i].steps = map[stepKey]*runner{}
	}
	return m
}

func (m *Manager) shardOf(k stepKey) *shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String())) // never fails
	return &m.shards[h.Sum32()%shardCount]
}

// full says that with more bytes the steps would hold more than they may. Each
// step's own bound isn't enough: many steps at once would sum up to more memory
// than the VM has, and the daemon be killed with all of them.
func (m *Manager) full(more int64) bool {
	return m.bytes.Load()+more > m.options.MaxHeldBytes
}

// lookup returns the runner of a step held here, nil if there is none.
func (m *Manager) lookup(k stepKey) *runner {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steps[k]
}

// remove takes a runner out of its shard, unless another one took its place.
func (m *Manager) remove(r *runner) {
	s := m.shardOf(r.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steps[r.key] != r {
		return
	}
	delete(s.steps, r.key)
	stepsHeld.Set(m.held.Add(-1))
}

// isDraining says whether Drain was called.
func (m *Manager) isDraining() bool {
	select {
	case <-m.draining:
		return true
	default:
		return false
	}
}

// Drain hands everything over. From now on no step is taken, a waiting pull is
// answered at once with what is finished, and a step is given up as soon as
// nothing finished is left for its trainer, after DrainGrace at the latest; its
// trainer then submits it to another daemon. Samples that were being made are
// lost work. Drain returns when no step is left or, with its error, when ctx ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.drain.Do(func() {
		m.options.Log.Info().Int64("steps", m.held.Load()).Msg("rollouts draining")
		m.closeIntake()
	})
	ended := make(chan struct{})
	go func() {
		m.runners.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		m.stop()
		return ctx.Err()
	}
}

// closeIntake lets no more step in. Passing each shard's lock waits for
// submissions that had already looked.
func (m *Manager) closeIntake() {
	close(m.draining)
	for i := range m.shards {
		m.shards[i].list()
	}
}

// Close ends all work at once and waits until it has ended. Waiting pulls fail.
func (m *Manager) Close() {
	m.drain.Do(m.closeIntake)
	m.stop()
	m.runners.Wait()
}

// List returns the steps held here.
func (m *Manager) List(ctx context.Context) []StatusResponse {
	var all []StatusResponse
	for i := range m.shards {
		for _, r := range m.shards[i].list() {
			if status, err := r.status(ctx); err == nil {
				all = append(all, status)
			}
		}
	}
	return all
}

// ListLocal returns a team's steps held here, by job and step.
func (m *Manager) ListLocal(ctx context.Context, team ident.Team) ([]StatusResponse, error) {
	steps := slices.DeleteFunc(m.List(ctx), func(s StatusResponse) bool { return s.Team != team })
	slices.SortFunc(steps, func(a, b StatusResponse) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step))
	})
	return steps, ctx.Err()
}

func (s *shard) list() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	runners := make([]*runner, 0, len(s.steps))
	for _, r := range s.steps {
		runners = append(runners, r)
	}
	return runners
}

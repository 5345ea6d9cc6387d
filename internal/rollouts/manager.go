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

// stepKey identifies a step.
type stepKey struct {
	team ident.Team
	job  ident.Job
	step ident.Step
}

// ownerKey returns the key that Peers maps to the owner of the step's job.
func (k stepKey) ownerKey() string { return string(k.team) + "/" + string(k.job) }

// String returns the key in the form used in logs, request IDs and seeds.
func (k stepKey) String() string { return k.ownerKey() + "/" + strconv.FormatInt(int64(k.step), 10) }

// shardCount is the number of locks among which the steps are divided. A lock is only
// held for accesses to the map.
const shardCount = 16

type shard struct {
	mu    sync.Mutex
	steps map[stepKey]*runner
}

// Manager holds the steps of this daemon and forwards requests for other steps to their
// owners. It is safe for concurrent use.
type Manager struct {
	options    Options
	shards     [shardCount]shard
	heldSteps  atomic.Int64    // number of steps in all shards
	heldBytes  atomic.Int64    // size of the prompts and completions of all steps
	draining   chan struct{}   // closed when a drain starts
	drainOnce  sync.Once       // closes draining
	baseCtx    context.Context // parent context of all work
	cancelWork context.CancelFunc
	runners    sync.WaitGroup
}

var (
	stepsHeldGauge       = metrics.Gauge("rollout_steps_held")
	bytesHeldGauge       = metrics.Gauge("rollout_bytes_held")
	stepsCreated         = metrics.Counter("rollout_steps_created")
	stepsDroppedIdle     = metrics.Counter("rollout_steps_dropped_idle")
	stepsCancelled       = metrics.Counter("rollout_steps_cancelled")
	stepsGivenUpDraining = metrics.Counter("rollout_steps_given_up_draining")
	pullsAnswered        = metrics.Counter("rollout_pulls_answered")
	pullsOfUnknownSteps  = metrics.Counter("rollout_pulls_of_unknown_steps")
	pullsSuperseded      = metrics.Counter("rollout_pulls_superseded")
	forwards             = metrics.Counter("rollout_forwards")
	forwardsFailed       = metrics.Counter("rollout_forwards_failed")
	attemptsStarted      = metrics.Counter("rollout_attempts")
	attemptsFailed       = metrics.Counter("rollout_attempts_failed")
	samplesStale         = metrics.Counter("rollout_samples_stale")
	samplesUnlabelled    = metrics.Counter("rollout_samples_unlabelled")
	groupsFailed         = metrics.Counter("rollout_groups_failed")
	groupsOffered        = metrics.Counter("rollout_groups_offered")
)

// New returns a Manager without steps.
func New(options Options) *Manager {
	m := &Manager{
		options:  options.withDefaults(),
		draining: make(chan struct{}),
	}
	m.baseCtx, m.cancelWork = context.WithCancel(context.Background())
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

// exceedsMemory reports whether the steps would hold more than MaxHeldBytes with another
// number of bytes. The limit for each step isn't enough: many steps together could
// exceed the memory of the VM, and the daemon would be killed with all of them.
func (m *Manager) exceedsMemory(additional int64) bool {
	return m.heldBytes.Load()+additional > m.options.MaxHeldBytes
}

// lookup returns the runner of a step held here, or nil if the step isn't held here.
func (m *Manager) lookup(k stepKey) *runner {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steps[k]
}

// remove removes a runner from its shard, unless another runner has replaced it.
func (m *Manager) remove(r *runner) {
	s := m.shardOf(r.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steps[r.key] != r {
		return
	}
	delete(s.steps, r.key)
	stepsHeldGauge.Set(m.heldSteps.Add(-1))
}

// isDraining reports whether a drain has started.
func (m *Manager) isDraining() bool {
	select {
	case <-m.draining:
		return true
	default:
		return false
	}
}

// Drain hands all steps over to other daemons. From now on no step is accepted and
// waiting pulls are answered immediately with the finished groups. A step ends as soon
// as the trainer holds all its finished groups, and after DrainGrace at the latest. Its
// trainer then submits it to another daemon. Samples that were still being generated are
// lost. Drain returns nil when no step is left, or the context's error if ctx ends first.
func (m *Manager) Drain(ctx context.Context) error {
	m.drainOnce.Do(func() {
		m.options.Log.Info().Int64("steps", m.heldSteps.Load()).Msg("draining training steps")
		m.stopAccepting()
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
		m.cancelWork()
		return ctx.Err()
	}
}

// stopAccepting makes the manager reject new steps. It acquires the lock of each shard
// once, to wait for submissions that checked isDraining before.
func (m *Manager) stopAccepting() {
	close(m.draining)
	for i := range m.shards {
		m.shards[i].list()
	}
}

// Close cancels all work immediately and waits until it has ended. Waiting pulls fail.
func (m *Manager) Close() {
	m.drainOnce.Do(m.stopAccepting)
	m.cancelWork()
	m.runners.Wait()
}

// List returns the steps held here.
func (m *Manager) List(ctx context.Context) []StatusResponse {
	var statuses []StatusResponse
	for i := range m.shards {
		for _, r := range m.shards[i].list() {
			if status, err := r.status(ctx); err == nil {
				statuses = append(statuses, status)
			}
		}
	}
	return statuses
}

// ListLocal returns the steps of a team held here, sorted by job and step.
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

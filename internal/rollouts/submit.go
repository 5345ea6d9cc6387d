package rollouts

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// Submit accepts a step, at the owner of its job if that can be reached and otherwise
// here. It is idempotent: submitting the same prompts again has no effect, and other
// prompts for the same step are a Conflict.
func (m *Manager) Submit(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, req SubmitRequest) (SubmitResponse, error) {
	k := stepKey{team, job, step}
	vm, self := m.options.Peers.Owner(k.ownerKey())
	if self {
		return m.SubmitLocal(ctx, team, job, step, req)
	}
	forwardCtx, cancel := context.WithTimeout(ctx, m.options.ForwardMargin)
	defer cancel()
	forwards.Add(1)
	answer, err := m.options.Peers.ForwardSubmit(forwardCtx, vm, team, job, step, req)
	if err == nil || !m.shouldServeLocally(k, vm, err) {
		return answer, err
	}
	return m.SubmitLocal(ctx, team, job, step, req)
}

// shouldServeLocally decides whether this daemon serves a request itself after forwarding
// it to the owner failed. An error that the owner answered with is final, unless the
// owner is draining and this daemon isn't.
func (m *Manager) shouldServeLocally(k stepKey, vm ident.VM, err error) bool {
	forwardsFailed.Add(1)
	var answered *Error
	if errors.As(err, &answered) {
		return answered.Kind == Draining && !m.isDraining()
	}
	m.options.Log.Warn().Err(err).Stringer("step", k).Str("owner", string(vm)).Msg("job owner unreachable; handling the request locally")
	return true
}

// SubmitLocal accepts a step at this daemon, whether or not it is the owner.
func (m *Manager) SubmitLocal(_ context.Context, team ident.Team, job ident.Job, step ident.Step, req SubmitRequest) (SubmitResponse, error) {
	k := stepKey{team, job, step}
	settings, ok := m.options.Jobs.Job(team, job)
	if !ok {
		return SubmitResponse{}, unknownJobError(job)
	}
	if settings.Cancelled {
		return SubmitResponse{}, &Error{Kind: Cancelled, Reason: "the job is cancelled in the configuration"}
	}
	have, err := validateSubmit(req)
	if err != nil {
		return SubmitResponse{}, err
	}
	r, created, err := m.findOrCreate(k, settings, req)
	if err != nil {
		return SubmitResponse{}, err
	}
	if created {
		m.startRunner(r, have, req.TrainerVersion)
	}
	return SubmitResponse{
		Job:       job,
		Step:      step,
		Groups:    len(req.Prompts),
		GroupSize: r.groupSize,
		Created:   created,
	}, nil
}

// validateSubmit checks the limits of a submission and decodes its cursor.
func validateSubmit(req SubmitRequest) (*roaring.Bitmap, error) {
	if len(req.Prompts) > MaxPrompts {
		return nil, &Error{Kind: TooLarge, Reason: fmt.Sprintf("%d prompts exceed the limit of %d", len(req.Prompts), MaxPrompts)}
	}
	if total := promptBytes(req.Prompts); total > MaxStepBytes {
		return nil, &Error{Kind: TooLarge, Reason: fmt.Sprintf("%d bytes of prompts exceed the limit of %d", total, MaxStepBytes)}
	}
	have, err := DecodeCursor(req.Have)
	if err != nil {
		return nil, &Error{Kind: BadRequest, Reason: "have", Err: err}
	}
	return have, nil
}

func promptBytes(prompts []rollout.Prompt) int64 {
	var total int64
	for _, p := range prompts {
		total += int64(len(p.Text))
	}
	return total
}

// findOrCreate returns the runner of a step. It creates the runner under the shard's
// lock, so that one of two concurrent submissions creates it and the other finds it.
func (m *Manager) findOrCreate(k stepKey, settings JobSettings, req SubmitRequest) (r *runner, created bool, err error) {
	content := hashContent(req.Prompts)
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.steps[k]; r != nil {
		if r.content != content {
			return nil, false, &Error{Kind: Conflict, Reason: "the step was submitted with different prompts"}
		}
		return r, false, nil
	}
	if m.isDraining() {
		return nil, false, drainingError()
	}
	if m.heldSteps.Load() >= int64(m.options.MaxSteps) {
		return nil, false, &Error{Kind: Unavailable, RetryAfter: defaultRetryAfter, Reason: "too many steps are in progress"}
	}
	if m.exceedsMemory(promptBytes(req.Prompts)) {
		return nil, false, &Error{Kind: Unavailable, RetryAfter: defaultRetryAfter, Reason: "the memory for steps is full"}
	}
	r, err = m.newRunner(k, settings, req, content)
	if err != nil {
		return nil, false, &Error{Kind: BadRequest, Err: err}
	}
	s.steps[k] = r
	stepsHeldGauge.Set(m.heldSteps.Add(1))
	stepsCreated.Add(1)
	m.runners.Add(1)
	return r, true, nil
}

func (m *Manager) newRunner(k stepKey, settings JobSettings, req SubmitRequest, content contentHash) (*runner, error) {
	spec := rollout.Spec{
		Team:            k.team,
		Job:             k.job,
		Step:            k.step,
		Model:           settings.Model,
		Prompts:         req.Prompts,
		GroupSize:       settings.GroupSize,
		StalenessBound:  settings.StalenessBound,
		MaxTokens:       settings.MaxTokens,
		Scorer:          settings.Scorer,
		TrainerVersion:  req.TrainerVersion,
		StalenessWeight: settings.StalenessWeight,
	}
	options := m.options.Step
	options.MaxBufferedBytes = MaxStepBytes
	step, err := rollout.New(spec, options, time.Now())
	if err != nil {
		return nil, err
	}
	return newRunner(m, k, step, content), nil
}

// contentHash identifies the content of a submission; two submissions of a step with the
// same hash are the same. It excludes the trainer's version and cursor, which can differ
// when a trainer submits a step again.
type contentHash [sha256.Size]byte

func hashContent(prompts []rollout.Prompt) contentHash {
	h := sha256.New()
	for _, p := range prompts {
		hashInt(h, p.ExpectedTokens)
		hashInt(h, len(p.Text))
		_, _ = h.Write([]byte(p.Text)) // never fails
	}
	return contentHash(h.Sum(nil))
}

func hashInt(h hash.Hash, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:]) // never fails
}

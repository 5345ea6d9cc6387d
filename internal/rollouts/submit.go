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

// Submit takes a step in, at its job's owner if that can be reached, else here.
// It is idempotent: the same prompts again change nothing, others are a Conflict.
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
	if err == nil || !m.takesOver(k, vm, err) {
		return answer, err
	}
	return m.SubmitLocal(ctx, team, job, step, req)
}

// takesOver decides whether this daemon does a call itself after its owner
// failed. An owner that answered has the last word, unless it is stopping.
func (m *Manager) takesOver(k stepKey, vm ident.VM, err error) bool {
	forwardsFailed.Add(1)
	var answered *Error
	if errors.As(err, &answered) {
		return answered.Kind == Draining && !m.isDraining()
	}
	m.options.Log.Warn().Err(err).Stringer("step", k).Str("owner", string(vm)).Msg("owner out of reach")
	return true
}

// SubmitLocal takes a step in at this daemon, whoever the owner is.
func (m *Manager) SubmitLocal(_ context.Context, team ident.Team, job ident.Job, step ident.Step, req SubmitRequest) (SubmitResponse, error) {
	k := stepKey{team, job, step}
	settings, ok := m.options.Jobs.Job(team, job)
	if !ok {
		return SubmitResponse{}, unknownJob(job)
	}
	if settings.Cancelled {
		return SubmitResponse{}, &Error{Kind: Cancelled, Reason: "the job is cancelled in the configuration"}
	}
	have, err := checkSubmit(req)
	if err != nil {
		return SubmitResponse{}, err
	}
	r, created, err := m.findOrCreate(k, settings, req)
	if err != nil {
		return SubmitResponse{}, err
	}
	if created {
		m.launch(r, have, req.TrainerVersion)
	}
	return SubmitResponse{
		Job:       job,
		Step:      step,
		Groups:    len(req.Prompts),
		GroupSize: r.groupSize,
		Created:   created,
	}, nil
}

func checkSubmit(req SubmitRequest) (*roaring.Bitmap, error) {
	if len(req.Prompts) > MaxPrompts {
		return nil, &Error{Kind: TooLarge, Reason: fmt.Sprintf("%d prompts, %d are allowed", len(req.Prompts), MaxPrompts)}
	}
	if total := promptBytes(req.Prompts); total > MaxStepBytes {
		return nil, &Error{Kind: TooLarge, Reason: fmt.Sprintf("%d bytes of prompts, %d are allowed", total, MaxStepBytes)}
	}
	have, err := DecodeHave(req.Have)
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

// findOrCreate returns the step's runner. It is made under the shard's lock, so
// that of two submissions at once one creates it and the other finds it.
func (m *Manager) findOrCreate(k stepKey, settings JobSettings, req SubmitRequest) (r *runner, created bool, err error) {
	content := contentOf(req.Prompts)
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.steps[k]; r != nil {
		if r.content != content {
			return nil, false, &Error{Kind: Conflict, Reason: "the step was submitted with other prompts"}
		}
		return r, false, nil
	}
	if m.isDraining() {
		return nil, false, draining()
	}
	if m.held.Load() >= int64(m.options.MaxSteps) {
		return nil, false, &Error{Kind: Unavailable, RetryAfter: retryDelay, Reason: "too many steps held"}
	}
	if m.full(promptBytes(req.Prompts)) {
		return nil, false, &Error{Kind: Unavailable, RetryAfter: retryDelay, Reason: "the steps held fill the memory set aside for them"}
	}
	r, err = m.newRunner(k, settings, req, content)
	if err != nil {
		return nil, false, &Error{Kind: BadRequest, Err: err}
	}
	s.steps[k] = r
	stepsHeld.Set(m.held.Add(1))
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
		StalenessBound:  settings.Bound,
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

// contentHash is what makes two submissions the same. The trainer's version and
// cursor aren't in it: they change between a submission and its repetition.
type contentHash [sha256.Size]byte

func contentOf(prompts []rollout.Prompt) contentHash {
	h := sha256.New()
	for _, p := range prompts {
		writeInt(h, p.ExpectedTokens)
		writeInt(h, len(p.Text))
		_, _ = h.Write([]byte(p.Text)) // never fails
	}
	return contentHash(h.Sum(nil))
}

func writeInt(h hash.Hash, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:]) // never fails
}

package rollouts

import (
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// recordStepEvent adds an event of the step as a whole to the time line.
func (r *runner) recordStepEvent(kind string, v ident.Version, detail string) {
	r.recordEvent(StepEvent{Kind: kind, Version: v, Detail: detail})
}

// recordSampleEvent adds an event of an attempt at a sample to the time line.
func (r *runner) recordSampleEvent(kind string, id rollout.SampleID, attempt uint32, v ident.Version, detail string) {
	if r.manager.options.Recorder == nil {
		return
	}
	request := r.requestID(generatePrefix, id, attempt)
	r.recordEvent(StepEvent{Kind: kind, Sample: &id, Request: request, Version: v, Detail: detail})
}

func (r *runner) recordEvent(e StepEvent) {
	recorder := r.manager.options.Recorder
	if recorder == nil {
		return
	}
	e.Team, e.Job, e.Step = r.key.team, r.key.job, r.key.step
	recorder.RecordStep(e)
}

// recordResult records the result of generating or scoring a sample, unless that was
// cancelled before.
func (r *runner) recordResult(e rollout.Event) {
	if r.wasCancelled(e) {
		return
	}
	switch e := e.(type) {
	case rollout.Generated:
		oldest := rollout.Sample{Segments: e.Segments}.Oldest()
		r.recordSampleEvent(SampleGenerated, e.ID, e.Attempt, oldest, fmt.Sprintf("%d tokens of %d versions", e.Tokens, len(e.Segments)))
	case rollout.GenerateFailed:
		r.recordSampleEvent(SampleFailed, e.ID, e.Attempt, r.step.NewestVersion(), e.Failure.Reason)
	case rollout.Scored:
		r.recordSampleEvent(SampleScored, e.ID, e.Attempt, r.step.NewestVersion(), "")
	case rollout.ScoreFailed:
		r.recordSampleEvent(SampleFailed, e.ID, e.Attempt, r.step.NewestVersion(), e.Failure.Reason)
	}
}

// recordAnswer records the answer to a pull and the samples in it.
func (r *runner) recordAnswer() {
	if r.manager.options.Recorder == nil {
		return
	}
	a := r.lastAnswer
	r.recordStepEvent(PullAnswered, a.JudgedBy, fmt.Sprintf("%d groups, %d remaining", len(a.Groups), a.Remaining))
	for _, group := range a.Groups {
		for _, sample := range group.Samples {
			id := rollout.SampleID{Group: sample.Group, Index: sample.Index}
			r.recordEvent(StepEvent{Kind: SampleOffered, Sample: &id, Version: a.JudgedBy})
		}
	}
}

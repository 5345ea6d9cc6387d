package trainer

import (
	"errors"
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
)

// Summary is what a trainer counted itself.
type Summary struct {
	Steps       int `json:"steps"` // whole ones
	Samples     int `json:"samples"`
	Missing     int `json:"missing"`
	Duplicates  int `json:"duplicates"`
	Stale       int `json:"stale"`
	Mislabelled int `json:"mislabelled"`
	// Wrong samples are cut, foreign, of the wrong prompt or wrongly scored.
	Wrong        int `json:"wrong"`
	FailedGroups int `json:"failed_groups"`
	// Pulls counts answers accepted, Cut and JudgedOld those dropped, Failures
	// calls without an answer, Resubmits steps submitted again.
	Pulls     int `json:"pulls"`
	Cut       int `json:"cut"`
	JudgedOld int `json:"judged_old"`
	Failures  int `json:"failures"`
	Resubmits int `json:"resubmits"`
	// Restarts counts starts in mid-step, Forgotten the samples that were
	// accepted before one and not kept; Samples is without them.
	Restarts  int `json:"restarts"`
	Forgotten int `json:"forgotten"`
	// Mixed samples hold tokens of more than one version.
	Mixed int `json:"mixed"`
	// IdleMillis is how long each step was waited for.
	IdleMillis    []int64       `json:"idle_ms"`
	StalenessMean float64       `json:"staleness_mean"`
	StalenessMax  int64         `json:"staleness_max"`
	Versions      map[int64]int `json:"tokens_by_version"`
	// Faults describes the first samples that failed a check.
	Faults []string `json:"faults,omitempty"`

	stalenessSum int64
}

// OK says that every step came whole and every sample passed every check.
func (s *Summary) OK() bool {
	return s.Missing+s.Duplicates+s.Stale+s.Mislabelled+s.Wrong+s.FailedGroups == 0
}

// maxFaults bounds the descriptions kept.
const maxFaults = 20

func (s *Summary) fault(format string, args ...any) {
	if len(s.Faults) < maxFaults {
		s.Faults = append(s.Faults, fmt.Sprintf(format, args...))
	}
}

// checkSample verifies one sample against its prompt and the newest version
// that the trainer knows.
func (s *Summary) checkSample(o Options, prompt string, newest int64, sample rollout.Sample) {
	s.Samples++
	segments := segmentsOf(sample)
	if len(segments) > 1 {
		s.Mixed++
	}
	s.checkText(o, prompt, sample, segments)
	oldest := int64(sample.Oldest())
	staleness := max(newest-oldest, 0)
	s.stalenessSum += staleness
	s.StalenessMean = float64(s.stalenessSum) / float64(s.Samples)
	s.StalenessMax = max(s.StalenessMax, staleness)
	if staleness > o.Bound {
		s.Stale++
		s.fault("group %d sample %d: stale: version %d, newest %d, bound %d", sample.Group, sample.Index, oldest, newest, o.Bound)
	}
	for _, segment := range segments {
		s.Versions[segment.Version] += segment.To - segment.From
	}
}

func (s *Summary) checkText(o Options, prompt string, sample rollout.Sample, segments []answer.Segment) {
	err := answer.Check(prompt, sample.Completion, segments)
	if errors.Is(err, answer.ErrLabel) {
		s.Mislabelled++
		s.fault("group %d sample %d: mislabelled: %v", sample.Group, sample.Index, err)
		return
	}
	if err == nil {
		const unlimited = 1 << 30
		err = answer.CheckComplete(prompt, sample.Completion, unlimited)
	}
	if err == nil && sample.Prompt != prompt {
		err = fmt.Errorf("prompt %q isn't the submitted one", sample.Prompt)
	}
	if want := answer.Reward(prompt, sample.Completion); err == nil && !o.Unscored && sample.Reward != want {
		err = fmt.Errorf("reward %v, want %v", sample.Reward, want)
	}
	if err != nil {
		s.Wrong++
		s.fault("group %d sample %d: wrong: %v", sample.Group, sample.Index, err)
	}
}

func segmentsOf(sample rollout.Sample) []answer.Segment {
	out := make([]answer.Segment, 0, len(sample.Segments))
	for _, segment := range sample.Segments {
		out = append(out, answer.Segment{Version: int64(segment.Version), From: segment.From, To: segment.To})
	}
	return out
}

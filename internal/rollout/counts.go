package rollout

import "github.com/dogwoodflow/dogwoodflow/internal/ident"

// Tally counts what happened since the step began at this owner.
type Tally struct {
	Attempts     int `json:"attempts"`
	Failures     int `json:"failures"`
	Stale        int `json:"stale"` // attempts and completions dropped as too old
	Unlabelled   int `json:"unlabelled"`
	FailedGroups int `json:"failed_groups"`
	Offered      int `json:"offered"` // groups put into answers; one may be offered again
}

// Counts is where a step stands.
type Counts struct {
	Waiting     int           `json:"waiting"` // samples, with those in backoff
	Generating  int           `json:"generating"`
	Scoring     int           `json:"scoring"` // with those waiting for the scorer
	Ready       int           `json:"ready"`
	HeldGroups  int           `json:"held_groups"`
	Deliverable int           `json:"deliverable_groups"`
	Newest      ident.Version `json:"newest"`
	Bytes       int           `json:"bytes"` // of completions kept
	Cancelled   bool          `json:"cancelled"`
	Tally       Tally         `json:"tally"`
}

// Counts returns where the step stands.
func (s *Step) Counts() Counts {
	n := &s.index.counts
	return Counts{
		Waiting:     n[waiting] + n[delayed],
		Generating:  n[generating],
		Scoring:     n[scoreWaiting] + n[scoreDelayed] + n[scoring],
		Ready:       n[ready],
		HeldGroups:  int(s.held.GetCardinality()),
		Deliverable: s.Deliverable(),
		Newest:      s.newest,
		Bytes:       s.bytes,
		Cancelled:   s.cancelled,
		Tally:       s.tally,
	}
}

// Spec returns what the step was made from; read only.
func (s *Step) Spec() *Spec { return &s.spec }

// Newest returns the newest version known to the step.
func (s *Step) Newest() ident.Version { return s.newest }

// Held counts the groups that the trainer's cursor names.
func (s *Step) Held() int { return int(s.held.GetCardinality()) }

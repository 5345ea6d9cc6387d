package rollout

import "github.com/dogwoodflow/dogwoodflow/internal/ident"

// Tally holds counters of a step since it started at this owner.
type Tally struct {
	Attempts     int `json:"attempts"`      // started
	Failures     int `json:"failures"`      // attempts at generating or scoring that failed and are retried, including Unlabelled
	Stale        int `json:"stale"`         // attempts and completions discarded as too old
	Unlabelled   int `json:"unlabelled"`    // completions discarded because a token had no version
	FailedGroups int `json:"failed_groups"` // groups given up
	Offered      int `json:"offered"`       // groups included in answers, counted again in each answer
}

// Counts describes the current state of a step.
type Counts struct {
	Waiting     int           `json:"waiting"`            // samples ready to start or in backoff
	Generating  int           `json:"generating"`         // samples
	Scoring     int           `json:"scoring"`            // samples being scored, or waiting to be
	Ready       int           `json:"ready"`              // samples generated and scored
	HeldGroups  int           `json:"held_groups"`        // groups in the trainer's cursor
	Deliverable int           `json:"deliverable_groups"` // groups that a pull without limits would get now
	Newest      ident.Version `json:"newest"`             // newest version known to the step
	Bytes       int           `json:"bytes"`              // size of the completions kept
	Cancelled   bool          `json:"cancelled"`
	Tally       Tally         `json:"tally"`
}

// Counts returns the current state of the step.
func (s *Step) Counts() Counts {
	n := &s.index.counts
	return Counts{
		Waiting:     n[waiting] + n[delayed],
		Generating:  n[generating],
		Scoring:     n[scoreWaiting] + n[scoreDelayed] + n[scoring],
		Ready:       n[ready],
		HeldGroups:  int(s.heldRanks.GetCardinality()),
		Deliverable: s.DeliverableGroups(),
		Newest:      s.newestVersion,
		Bytes:       s.bufferedBytes,
		Cancelled:   s.cancelled,
		Tally:       s.tally,
	}
}

// Spec returns the spec of the step, which the caller must not modify.
func (s *Step) Spec() *Spec { return &s.spec }

// NewestVersion returns the newest version known to the step.
func (s *Step) NewestVersion() ident.Version { return s.newestVersion }

// HeldGroups returns the number of groups in the trainer's cursor.
func (s *Step) HeldGroups() int { return int(s.heldRanks.GetCardinality()) }

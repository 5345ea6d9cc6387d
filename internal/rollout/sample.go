package rollout

import (
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// ErrUnlabelled says that segments don't name a version for every token.
var ErrUnlabelled = errors.New("rollout: a token has no weight version")

// Prompt is one prompt of a step; its group holds Spec.GroupSize samples of it.
type Prompt struct {
	Text string `json:"text"`
	// ExpectedTokens is the trainer's guess of a completion's length, 0 if none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// Segment says that Version generated the tokens From (inclusive) to To
// (exclusive) of a completion.
type Segment struct {
	Version ident.Version `json:"version"`
	From    int           `json:"from"`
	To      int           `json:"to"`
}

// AppendTokens adds tokens that version generated. Neighbours of one version
// are merged. A chunk without tokens adds nothing.
func AppendTokens(segments []Segment, version ident.Version, tokens int) []Segment {
	if tokens <= 0 {
		return segments
	}
	if len(segments) == 0 {
		return append(segments, Segment{Version: version, To: tokens})
	}
	last := &segments[len(segments)-1]
	if last.Version == version {
		last.To += tokens
		return segments
	}
	return append(segments, Segment{Version: version, From: last.To, To: last.To + tokens})
}

// checkLabels returns ErrUnlabelled unless the segments are contiguous, each
// names a version, and together they cover exactly the tokens.
func checkLabels(segments []Segment, tokens int) error {
	next := 0
	for _, g := range segments {
		if g.Version <= 0 || g.From != next || g.To <= g.From {
			return ErrUnlabelled
		}
		next = g.To
	}
	if next == 0 || next != tokens {
		return ErrUnlabelled
	}
	return nil
}

// mergeSegments joins neighbours of one version; the input is left as it is.
func mergeSegments(segments []Segment) []Segment {
	var merged []Segment
	for _, g := range segments {
		merged = AppendTokens(merged, g.Version, g.To-g.From)
	}
	return merged
}

// oldestVersion returns the smallest version that generated a token, 0 if none did.
func oldestVersion(segments []Segment) ident.Version {
	var oldest ident.Version
	for _, g := range segments {
		if oldest == 0 || g.Version < oldest {
			oldest = g.Version
		}
	}
	return oldest
}

// Sample is one finished completion as its trainer gets it.
type Sample struct {
	Group      int       `json:"group"`
	Index      int       `json:"index"`
	Prompt     string    `json:"prompt"`
	Completion string    `json:"completion"`
	Reward     float64   `json:"reward"`
	Segments   []Segment `json:"segments"`
}

// Oldest returns the oldest version that generated a token of the sample; its
// staleness is judged by it.
func (s Sample) Oldest() ident.Version { return oldestVersion(s.Segments) }

// Group is one prompt's outcome: all its samples, or the reason why there are none.
type Group struct {
	Number  int      `json:"group"`
	Samples []Sample `json:"samples,omitempty"`
	// Failed groups can't be made (their request is poison, say); they are
	// delivered once like others, so that the trainer learns of it at once.
	Failed bool   `json:"failed,omitempty"`
	Reason string `json:"reason,omitempty"`
}

package rollouts

import (
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// Limits of the trainer's API.
const (
	// MaxPrompts is the largest number of prompts in one step.
	MaxPrompts = 20_000
	// MaxStepBytes bounds the prompts' bytes of one step, and what its finished
	// samples may hold in memory before they are pulled.
	MaxStepBytes = 64 << 20
	// MaxWaitMillis is the longest wait of one pull.
	MaxWaitMillis = 60_000
	// DefaultMaxGroups is how many groups an answer holds when the pull names no limit.
	DefaultMaxGroups = 256
	// maxHaveBytes bounds an encoded cursor. MaxPrompts bits need 2.5 KB at most.
	maxHaveBytes = 16 << 10
)

// SubmitRequest is the body of PUT /v1/jobs/{job}/steps/{step}.
type SubmitRequest struct {
	Prompts        []rollout.Prompt `json:"prompts"`
	TrainerVersion ident.Version    `json:"trainer_version"`
	// Have is the trainer's cursor as in PullRequest. A trainer that submits a
	// step again sets it, so that groups it holds aren't made again. It isn't
	// part of the content that makes a submission the same or a conflict.
	Have string `json:"have,omitempty"`
}

// SubmitResponse answers a submission.
type SubmitResponse struct {
	Job       ident.Job  `json:"job"`
	Step      ident.Step `json:"step"`
	Groups    int        `json:"groups"`
	GroupSize int        `json:"group_size"`
	// Created is false when the same content was submitted before.
	Created bool `json:"created"`
}

// PullRequest is the body of POST /v1/jobs/{job}/steps/{step}/pull. A trainer
// has one pull outstanding for a step.
type PullRequest struct {
	// Have names the groups that the trainer holds; see EncodeHave.
	Have string `json:"have"`
	// TrainerVersion is the newest version that the trainer knows of.
	TrainerVersion ident.Version `json:"trainer_version"`
	WaitMillis     int64         `json:"wait_ms"`
	MaxGroups      int           `json:"max_groups,omitempty"`
}

// PullResponse answers a pull. The trainer takes it as a whole, and only if it
// parses to its end, End is true, it is the answer to its newest pull, and
// JudgedBy isn't below the newest version it knows at receipt.
type PullResponse struct {
	Job  ident.Job  `json:"job"`
	Step ident.Step `json:"step"`
	// JudgedBy is the newest version that staleness was judged against.
	JudgedBy ident.Version   `json:"judged_by"`
	Groups   []rollout.Group `json:"groups"`
	// Whole says that with this answer the trainer holds every group.
	Whole bool `json:"whole"`
	// Remaining counts groups neither in the cursor nor in this answer.
	Remaining int `json:"remaining"`
	// End is the last field and always true.
	End bool `json:"end"`
}

// StatusResponse answers GET /v1/jobs/{job}/steps/{step}.
type StatusResponse struct {
	Team      ident.Team     `json:"team"`
	Job       ident.Job      `json:"job"`
	Step      ident.Step     `json:"step"`
	Model     ident.Model    `json:"model"`
	Groups    int            `json:"groups"`
	GroupSize int            `json:"group_size"`
	Counts    rollout.Counts `json:"counts"`
}

// ErrBadCursor says that a cursor isn't a base64 roaring bitmap.
var ErrBadCursor = errors.New("rollouts: cursor isn't a base64 roaring bitmap")

// EncodeHave returns the cursor's form in a request: the bitmap of the group
// numbers held, in roaring's portable format, as standard base64.
func EncodeHave(have *roaring.Bitmap) (string, error) {
	data, err := have.ToBytes()
	if err != nil {
		return "", fmt.Errorf("rollouts: encode cursor: %w", err)
	}
	return base64.StdEncoding.EncodeToString(data), nil
}

// DecodeHave reads a cursor; the empty string is the empty cursor. Error: ErrBadCursor.
func DecodeHave(s string) (have *roaring.Bitmap, err error) {
	have = roaring.New()
	if s == "" {
		return have, nil
	}
	if len(s) > maxHaveBytes {
		return nil, ErrBadCursor
	}
	data, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBadCursor, err)
	}
	// The library's reader can index past a hostile header; the bytes come from outside.
	defer func() {
		if r := recover(); r != nil {
			have, err = nil, ErrBadCursor
		}
	}()
	if err := have.UnmarshalBinary(data); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBadCursor, err)
	}
	if err := have.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBadCursor, err)
	}
	return have, nil
}

package rollouts

import (
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// Limits of the API for trainers.
const (
	// MaxPrompts is the maximum number of prompts in a step.
	MaxPrompts = 20_000
	// MaxStepBytes limits the total size of the prompts of a step, and the memory for
	// its completions that haven't been pulled.
	MaxStepBytes = 64 << 20
	// MaxWaitMillis is the longest time that a pull may wait for groups.
	MaxWaitMillis = 60_000
	// DefaultMaxGroups limits the groups in an answer if the pull specifies no limit.
	DefaultMaxGroups = 256
	// maxHaveBytes limits the size of an encoded cursor. MaxPrompts bits take up to 2.5 KB.
	maxHaveBytes = 16 << 10
)

// SubmitRequest is the body of PUT /v1/jobs/{job}/steps/{step}.
type SubmitRequest struct {
	Prompts        []rollout.Prompt `json:"prompts"`
	TrainerVersion ident.Version    `json:"trainer_version"`
	// Have is the trainer's cursor, as in PullRequest. A trainer sets it when it submits
	// a step again, so the groups that it holds aren't generated again. It doesn't count
	// when two submissions of a step are compared.
	Have string `json:"have,omitempty"`
}

// SubmitResponse is the response to a SubmitRequest.
type SubmitResponse struct {
	Job       ident.Job  `json:"job"`
	Step      ident.Step `json:"step"`
	Groups    int        `json:"groups"`
	GroupSize int        `json:"group_size"`
	// Created is false if the same content was submitted before.
	Created bool `json:"created"`
}

// PullRequest is the body of POST /v1/jobs/{job}/steps/{step}/pull. A trainer has at
// most one pull outstanding for a step.
type PullRequest struct {
	// Have is the cursor: the groups that the trainer holds, as encoded by EncodeCursor.
	Have string `json:"have"`
	// TrainerVersion is the newest version that the trainer knows.
	TrainerVersion ident.Version `json:"trainer_version"`
	WaitMillis     int64         `json:"wait_ms"`
	MaxGroups      int           `json:"max_groups,omitempty"`
}

// PullResponse is the answer to a pull. The trainer accepts it as a whole, and only if
// it parses to its end, End is true, it is the answer to the trainer's newest pull, and
// JudgedBy isn't below the newest version that the trainer knows on receipt.
type PullResponse struct {
	Job  ident.Job  `json:"job"`
	Step ident.Step `json:"step"`
	// JudgedBy is the newest version known when staleness was checked.
	JudgedBy ident.Version   `json:"judged_by"`
	Groups   []rollout.Group `json:"groups"`
	// Whole is true if the trainer holds every group with this answer.
	Whole bool `json:"whole"`
	// Remaining is the number of groups that are in neither the cursor nor the answer.
	Remaining int `json:"remaining"`
	// End is the last field and always true, so the trainer can detect a truncated answer.
	End bool `json:"end"`
}

// StatusResponse is the response to GET /v1/jobs/{job}/steps/{step}.
type StatusResponse struct {
	Team      ident.Team     `json:"team"`
	Job       ident.Job      `json:"job"`
	Step      ident.Step     `json:"step"`
	Model     ident.Model    `json:"model"`
	Groups    int            `json:"groups"`
	GroupSize int            `json:"group_size"`
	Counts    rollout.Counts `json:"counts"`
}

// ErrInvalidCursor is returned for a cursor that isn't a base64 roaring bitmap.
var ErrInvalidCursor = errors.New("rollouts: cursor isn't a base64 roaring bitmap")

// EncodeCursor encodes a cursor for a request: the bitmap of the numbers of the groups
// held, in roaring's portable format, as standard base64.
func EncodeCursor(have *roaring.Bitmap) (string, error) {
	data, err := have.ToBytes()
	if err != nil {
		return "", fmt.Errorf("rollouts: encode cursor: %w", err)
	}
	return base64.StdEncoding.EncodeToString(data), nil
}

// DecodeCursor decodes a cursor. The empty string is the empty cursor. If s is invalid,
// the error is ErrInvalidCursor.
func DecodeCursor(s string) (have *roaring.Bitmap, err error) {
	have = roaring.New()
	if s == "" {
		return have, nil
	}
	if len(s) > maxHaveBytes {
		return nil, ErrInvalidCursor
	}
	data, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidCursor, err)
	}
	// The data is untrusted, and the library can panic with an index out of range on a
	// malicious header.
	defer func() {
		if r := recover(); r != nil {
			have, err = nil, ErrInvalidCursor
		}
	}()
	if err := have.UnmarshalBinary(data); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidCursor, err)
	}
	if err := have.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidCursor, err)
	}
	return have, nil
}

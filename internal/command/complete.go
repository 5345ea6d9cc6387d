package command

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// defaultMaxTokens bounds a completion when neither the request nor the model does.
const defaultMaxTokens = 1024

// Completion asks for one completion on behalf of a production caller.
type Completion struct {
	ID        ident.RequestID
	Team      ident.Team
	Model     ident.Model
	Prompt    string
	Chat      []wire.Message
	MaxTokens int
	Seed      int64
}

// NewRequestID returns an ID that no other request of the fleet has. The
// caller's own ID isn't used: two callers may choose the same.
func NewRequestID() ident.RequestID { return ident.RequestID(uuid.NewString()) }

// Complete generates a completion; onChunk sees each chunk once, in order.
// The error is an *Error.
func (c *Commands) Complete(ctx context.Context, r Completion, onChunk func(upstream.Chunk) error) (dispatch.Completion, error) {
	team, err := c.team(r.Team)
	if err != nil {
		return dispatch.Completion{}, err
	}
	model, ok := team.Models[r.Model]
	if !ok {
		return dispatch.Completion{}, refused(NotFound, "team %s has no model %q", r.Team, r.Model)
	}
	limit := maxTokens(model)
	if r.MaxTokens > limit {
		return dispatch.Completion{}, refused(Invalid, "max_tokens is %d; model %q allows at most %d", r.MaxTokens, r.Model, limit)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = limit
	}
	out, genErr := c.dispatcher.Generate(ctx, dispatch.GenerateRequest{
		ID: r.ID, Team: r.Team, Model: r.Model, Class: dispatch.ClassProduction,
		Prompt: r.Prompt, Chat: r.Chat, MaxTokens: r.MaxTokens, Seed: r.Seed,
		Deadline: time.Now().Add(c.timeout),
	}, onChunk)
	return out, turn(genErr)
}

func maxTokens(m config.Model) int {
	if m.MaxTokens > 0 {
		return m.MaxTokens
	}
	return defaultMaxTokens
}

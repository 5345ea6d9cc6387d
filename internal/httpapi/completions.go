package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/dogwoodflow/dogwoodflow/internal/abort"
	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// completionRequest is what a caller may send. A field that isn't here is
// refused by name: dropping it silently would answer another request.
type completionRequest struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	Messages  []wire.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Seed      int64          `json:"seed"`
	Stream    bool           `json:"stream"`
	N         int            `json:"n"`
	User      string         `json:"user"`
}

func (c completionRequest) check(chat bool) string {
	switch {
	case c.Model == "":
		return "model is missing"
	case chat && len(c.Messages) == 0:
		return "messages is missing or empty"
	case chat && c.Prompt != "":
		return "prompt belongs to /v1/completions"
	case !chat && c.Prompt == "":
		return "prompt is missing or empty"
	case !chat && len(c.Messages) > 0:
		return "messages belongs to /v1/chat/completions"
	case c.MaxTokens < 0:
		return fmt.Sprintf("max_tokens is %d; it must not be negative", c.MaxTokens)
	case c.N > 1 || c.N < 0:
		return fmt.Sprintf("n is %d; only 1 is supported", c.N)
	}
	return ""
}

// completions serves both completion endpoints.
func (a *API) completions(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := command.NewRequestID()
		w.Header().Set(headerRequestID, string(id))
		team := principalOf(r).team
		var req completionRequest
		if problem := readJSON(w, r, a.maxBody(team), &req); problem != nil {
			problem.write(w)
			return
		}
		if fault := req.check(chat); fault != "" {
			refuse(http.StatusBadRequest, fault).write(w)
			return
		}
		cmd := command.Completion{
			ID: id, Team: team, Model: ident.Model(req.Model), Prompt: req.Prompt,
			Chat: req.Messages, MaxTokens: req.MaxTokens, Seed: req.Seed,
		}
		out := completionWriter{w: w, id: id, model: req.Model, chat: chat}
		if req.Stream {
			a.streamCompletion(r, cmd, &out)
			return
		}
		a.wholeCompletion(r, cmd, &out)
	}
}

func (a *API) wholeCompletion(r *http.Request, cmd command.Completion, out *completionWriter) {
	generated, err := a.commands.Complete(r.Context(), cmd, func(upstream.Chunk) error { return nil })
	if err != nil {
		problemOf(err).write(out.w)
		return
	}
	writeJSON(out.w, http.StatusOK, out.whole(generated))
}

func (a *API) streamCompletion(r *http.Request, cmd command.Completion, out *completionWriter) {
	_, err := a.commands.Complete(r.Context(), cmd, out.chunk)
	if err == nil {
		out.end()
		return
	}
	if !out.begun {
		problemOf(err).write(out.w)
		return
	}
	out.fail(problemOf(err))
	// A handler that returns here would close the chunked body cleanly, and a
	// client that reads to the end of the body, without looking for the end
	// mark, would take the part for the whole. Aborting cuts the connection (or
	// resets the HTTP/2 stream), which every client sees as a failed read.
	abort.Response(out.w, r)
}

// completionWriter writes one completion in the form of the endpoint asked.
type completionWriter struct {
	w     http.ResponseWriter
	id    ident.RequestID
	model string
	chat  bool
	begun bool
}

// chunk writes one event. The status line waits for the first chunk, so that a
// failure before it still gets its own status.
func (o *completionWriter) chunk(c upstream.Chunk) error {
	o.begin()
	choice := wire.Choice{FinishReason: finish(c.FinishReason)}
	if o.chat {
		choice.Delta = &wire.Message{Role: "assistant", Content: c.Text}
	} else {
		choice.Text = c.Text
	}
	return o.event(wire.GenerateChunk{
		ID: string(o.id), Object: o.object(".chunk"), Model: o.model, Choices: []wire.Choice{choice},
		WeightVersion: int64(c.Version), Tokens: c.Tokens, CachedTokens: c.CachedTokens,
	})
}

func (o *completionWriter) begin() {
	if o.begun {
		return
	}
	o.begun = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

func (o *completionWriter) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(o.w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return http.NewResponseController(o.w).Flush()
}

// end writes the end mark; a stream without it isn't whole.
func (o *completionWriter) end() {
	o.begin()
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", wire.StreamEnd)
}

// fail tells a caller that already has a part why no more comes. The end mark
// is left out, so the part can't be taken for the whole.
func (o *completionWriter) fail(p Problem) {
	p.RequestID = string(o.id)
	_ = o.event(struct {
		Error Problem `json:"error"`
	}{p})
}

func (o *completionWriter) whole(g dispatch.Completion) wire.GenerateChunk {
	choice := wire.Choice{FinishReason: finish(g.FinishReason)}
	if o.chat {
		choice.Message = &wire.Message{Role: "assistant", Content: g.Text}
	} else {
		choice.Text = g.Text
	}
	out := wire.GenerateChunk{ID: string(o.id), Object: o.object(""), Model: o.model, Choices: []wire.Choice{choice}}
	for _, s := range g.Segments {
		out.Tokens += s.Tokens
		out.WeightVersion = int64(s.Version)
		out.Segments = append(out.Segments, wire.Segment{WeightVersion: int64(s.Version), Tokens: s.Tokens})
	}
	return out
}

func (o *completionWriter) object(suffix string) string {
	if o.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func finish(reason string) *string {
	if reason == "" {
		return nil
	}
	return &reason
}

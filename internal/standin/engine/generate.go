package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

const (
	chatPath = "/v1/chat/completions"
	// bytesPerToken is how the engine counts a cached prefix in tokens.
	bytesPerToken = 4
)

var errResume = errors.New("resume_text isn't resume_tokens tokens of this prompt's answer")

// generation is one request on its way through the engine.
type generation struct {
	wire.GenerateRequest
	id     string
	chat   bool
	prompt string
	tokens answer.Generator
	cached int // prompt tokens found in the cache
	*stream
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	g := &generation{id: r.Header.Get(wire.HeaderRequestID), chat: r.URL.Path == chatPath}
	if !host.ReadJSON(w, r, &g.GenerateRequest) {
		return
	}
	if status, err := e.prepare(g); err != nil {
		w.Header().Set(wire.HeaderNotRun, "true")
		host.WriteError(w, status, err)
		return
	}
	e.leaving.RecordStart()
	e.submit(g.stream)
	defer e.abandon(g.stream)
	if g.Stream {
		e.answerStream(w, r, g)
		return
	}
	e.answerWhole(w, r, g)
}

// prepare checks a request and makes its stream. MaxTokens counts the whole
// answer, resumed tokens included.
func (e *Engine) prepare(g *generation) (int, error) {
	g.prompt = g.Prompt
	if g.chat {
		g.prompt = answer.ChatPrompt(g.Messages)
	}
	if g.prompt == "" {
		return http.StatusBadRequest, errors.New("no prompt")
	}
	if err := checkResume(g); err != nil {
		return http.StatusBadRequest, err
	}
	g.tokens = answer.NewGenerator(g.prompt, g.Seed)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models[g.Model] == nil {
		return http.StatusNotFound, fmt.Errorf("model %q isn't served here", g.Model)
	}
	uncached := len(g.prompt) + len(g.ResumeText)
	if e.cache.touch(g.prompt) {
		g.cached = min(len(g.prompt), wire.PrefixBytes) / bytesPerToken
		uncached -= len(g.prompt)
	}
	g.stream = &stream{
		id:      g.id,
		model:   g.Model,
		from:    g.ResumeTokens,
		next:    g.ResumeTokens,
		end:     answer.CompletionLength(g.prompt, g.MaxTokens),
		prefill: e.options.prefillTime(uncached),
		notify:  make(chan struct{}, 1),
	}
	return 0, nil
}

// checkResume makes sure that what is resumed is an answer to this prompt.
func checkResume(g *generation) error {
	got, err := answer.TokenVersions(g.prompt, g.ResumeText)
	if err != nil {
		return fmt.Errorf("%w: %w", errResume, err)
	}
	if len(got) != g.ResumeTokens {
		return fmt.Errorf("%w: %d tokens", errResume, len(got))
	}
	if g.ResumeTokens >= answer.CompletionLength(g.prompt, g.MaxTokens) {
		return fmt.Errorf("%w: nothing left to generate", errResume)
	}
	if g.ResumeTokens > 0 && !answer.HasSeed(g.prompt, g.Seed, g.ResumeText) {
		return fmt.Errorf("%w: another seed", errResume)
	}
	return nil
}

// each calls f for every run of tokens as it is generated, until the last one.
func (e *Engine) each(r *http.Request, g *generation, f func(span) error) error {
	for sent := g.from; sent < g.end; {
		select {
		case <-g.notify:
		case <-r.Context().Done():
			return r.Context().Err()
		case <-e.closing:
			panic(http.ErrAbortHandler)
		}
		for _, s := range g.take() {
			if err := f(s); err != nil {
				return err
			}
			sent = s.to
		}
	}
	return nil
}

func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, g *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	err := e.each(r, g, func(s span) error {
		if err := writeEvent(w, g.chunk(s)); err != nil {
			return err
		}
		return flush.Flush()
	})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", wire.StreamEnd)
}

func writeEvent(w http.ResponseWriter, chunk wire.GenerateChunk) error {
	raw, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", raw)
	return err
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	var text strings.Builder
	var segments []wire.Segment
	err := e.each(r, g, func(s span) error {
		text.WriteString(g.tokens.Text(s.from, s.to, s.version))
		if n := len(segments); n > 0 && segments[n-1].WeightVersion == s.version {
			segments[n-1].Tokens += s.to - s.from
			return nil
		}
		segments = append(segments, wire.Segment{WeightVersion: s.version, Tokens: s.to - s.from})
		return nil
	})
	if err != nil {
		return
	}
	whole := wire.GenerateChunk{
		ID:            g.id,
		Object:        "text_completion",
		Model:         g.Model,
		Tokens:        g.end - g.from,
		CachedTokens:  g.cached,
		Segments:      segments,
		WeightVersion: segments[len(segments)-1].WeightVersion,
		Choices:       []wire.Choice{{Text: text.String(), FinishReason: g.finish(g.end)}},
	}
	if g.chat {
		whole.Object = "chat.completion"
		whole.Choices[0].Text = ""
		whole.Choices[0].Message = &wire.Message{Role: "assistant", Content: text.String()}
	}
	host.WriteJSON(w, http.StatusOK, whole)
}

func (g *generation) chunk(s span) wire.GenerateChunk {
	text := g.tokens.Text(s.from, s.to, s.version)
	chunk := wire.GenerateChunk{
		ID:            g.id,
		Object:        "text_completion",
		Model:         g.Model,
		WeightVersion: s.version,
		Tokens:        s.to - s.from,
		Choices:       []wire.Choice{{Text: text, FinishReason: g.finish(s.to)}},
	}
	if s.from == g.from {
		chunk.CachedTokens = g.cached
	}
	if g.chat {
		chunk.Object = "chat.completion.chunk"
		chunk.Choices[0].Text = ""
		chunk.Choices[0].Delta = &wire.Message{Role: "assistant", Content: text}
	}
	return chunk
}

// finish returns the finish reason once the answer is at its end.
func (g *generation) finish(to int) *string {
	if to < g.end {
		return nil
	}
	reason := "length"
	if g.MaxTokens <= 0 || g.end < g.MaxTokens {
		reason = "stop"
	}
	return &reason
}

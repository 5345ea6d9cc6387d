package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
)

// drainTimeout bounds the wait for the end of an answer whose end mark has come.
// Only the connection's reuse depends on it.
const drainTimeout = 100 * time.Millisecond

// Generate streams a completion. onChunk sees each token once, in order; its
// error ends the stream and comes back wrapped. The result is nil only after the
// stream's own end mark.
func (c *Client) Generate(ctx context.Context, t Target, r GenerateRequest, onChunk func(Chunk) error) error {
	k, err := c.json(t, r.ID, generatePath(r), generateBody(r))
	if err != nil {
		return err
	}
	k.plan = c.waiting()
	answer, err := k.begin(ctx)
	if err != nil {
		return err
	}
	defer answer.Close()
	if err := k.checkStream(answer); err != nil {
		return err
	}
	return k.stream(answer, onChunk)
}

func generatePath(r GenerateRequest) string {
	if len(r.Chat) > 0 {
		return chatPath
	}
	return completionsPath
}

// generateBody always asks for a stream: only there does each part of the text
// name its weight version as it comes, and a long silence shows early.
func generateBody(r GenerateRequest) wire.GenerateRequest {
	body := wire.GenerateRequest{
		Model:        string(r.Model),
		Messages:     r.Chat,
		MaxTokens:    r.MaxTokens,
		Seed:         r.Seed,
		Stream:       true,
		ResumeText:   r.ResumeText,
		ResumeTokens: r.ResumeTokens,
	}
	if len(r.Chat) == 0 {
		body.Prompt = r.Prompt
	}
	return body
}

// checkStream accepts an event stream that names this request.
func (k *call) checkStream(answer *exchange.Answer) error {
	if answer.Status != http.StatusOK {
		return k.refusal(answer)
	}
	if answer.Header.Get(wire.HeaderRequestID) != string(k.id) {
		return k.fail(Crossed, answer, errors.New("answer doesn't name its request"))
	}
	kind, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	if strings.TrimSpace(kind) != "text/event-stream" {
		return k.fail(Malformed, answer, fmt.Errorf("content type %q isn't an event stream", kind))
	}
	return nil
}

// stream hands out the answer's chunks and, behind the end mark, reads the answer's
// end, so that the connection can be used again. Anything but an end there closes it.
func (k *call) stream(answer *exchange.Answer, onChunk func(Chunk) error) error {
	s := newStream(answer, k.id, k.client.options.MaxEventBytes)
	s.merge.off = k.client.noMerge
	leaving := isLeaving(answer.Header)
	// An engine may send its header at once and then queue the request.
	answer.LimitProgress(k.client.options.FirstByteTimeout)
	err := s.read(func(c Chunk) error {
		answer.LimitProgress(k.client.options.ProgressTimeout)
		c.Leaving = leaving
		return onChunk(c)
	})
	if err != nil {
		return k.streamError(answer, err)
	}
	answer.LimitProgress(drainTimeout)
	s.events.drain()
	return nil
}

func (k *call) streamError(answer *exchange.Answer, err error) *Error {
	var crossed *crossedError
	var malformed *malformedError
	var stopped *stoppedError
	switch {
	case errors.As(err, &stopped):
		return k.fail(Cancelled, answer, err)
	case errors.As(err, &crossed):
		return k.fail(Crossed, answer, err)
	case errors.As(err, &malformed):
		return k.fail(Malformed, answer, err)
	case errors.Is(err, errNoEnd):
		return k.fail(Truncated, answer, err)
	default:
		return k.fromAnswer(answer, err)
	}
}

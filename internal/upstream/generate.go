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

// drainTimeout limits the wait for the end of a response after its end marker was received.
// Only the reuse of the connection depends on it.
const drainTimeout = 100 * time.Millisecond

// Generate streams a completion. It passes each token to onChunk once, in order. An error of
// onChunk ends the stream and is returned wrapped. The result is nil only if the stream's end
// marker was received.
func (c *Client) Generate(ctx context.Context, t Target, r GenerateRequest, onChunk func(Chunk) error) error {
	k, err := c.newJSONCall(t, r.ID, generatePath(r), generateBody(r))
	if err != nil {
		return err
	}
	k.sendOptions = c.queuedOptions()
	resp, err := k.send(ctx)
	if err != nil {
		return err
	}
	defer resp.Close()
	if err := k.checkStreamHeader(resp); err != nil {
		return err
	}
	return k.readStream(resp, r, onChunk)
}

func generatePath(r GenerateRequest) string {
	if len(r.Chat) > 0 {
		return chatPath
	}
	return completionsPath
}

// generateBody returns the body of the request to the engine. It always asks for a stream:
// only in a stream does each part of the text come with its weight version as soon as it is
// generated, and only there is a lack of progress detected early.
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

// checkStreamHeader returns an error unless the header is that of an event stream for this
// request.
func (k *call) checkStreamHeader(resp *exchange.Response) error {
	if resp.Status != http.StatusOK {
		return k.statusError(resp)
	}
	if resp.Header.Get(wire.HeaderRequestID) != string(k.requestID) {
		return k.responseFault(Crossed, resp, errors.New("response does not name its request"))
	}
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	if strings.TrimSpace(mediaType) != "text/event-stream" {
		return k.responseFault(Malformed, resp, fmt.Errorf("content type %q is not an event stream", mediaType))
	}
	return nil
}

// readStream passes the chunks of the response to onChunk. After the end marker it reads the
// end of the response, so that the connection can be reused; if more data follows instead, the
// connection is closed.
func (k *call) readStream(resp *exchange.Response, r GenerateRequest, onChunk func(Chunk) error) error {
	s := newChunkStream(resp, r, k.client.options.MaxEventBytes)
	s.merger.disabled = k.client.mergingDisabled
	leaving := reportsLeaving(resp.Header)
	// An engine may send the header at once and then queue the request, so the first chunk
	// has the longer timeout.
	resp.SetReadTimeout(k.client.options.FirstByteTimeout)
	err := s.read(func(c Chunk) error {
		resp.SetReadTimeout(k.client.options.ProgressTimeout)
		c.Leaving = leaving
		return onChunk(c)
	})
	if err != nil {
		return k.streamError(resp, err)
	}
	resp.SetReadTimeout(drainTimeout)
	s.events.readEnd()
	return nil
}

// streamError converts an error of chunkStream.read.
func (k *call) streamError(resp *exchange.Response, err error) *Error {
	var crossed *crossedError
	var malformed *malformedError
	var stopped *stoppedError
	switch {
	case errors.As(err, &stopped):
		return k.responseFault(Cancelled, resp, err)
	case errors.As(err, &crossed):
		return k.responseFault(Crossed, resp, err)
	case errors.As(err, &malformed):
		return k.responseFault(Malformed, resp, err)
	case errors.Is(err, errNoEndMarker):
		return k.responseFault(Truncated, resp, err)
	default:
		return k.responseError(resp, err)
	}
}

package callers

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/service"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// errWrong says that an answer that claims to be whole isn't the caller's own.
var errWrong = errors.New("callers: wrong answer")

// attemptError is an attempt without an answer.
type attemptError struct {
	outcome    outcome.Outcome
	reason     string
	retryAfter time.Duration
	// request is the daemon's own id of the attempt, "" if it gave none.
	request string
	// refused says that the daemon answered with a problem of its own.
	refused *refused
}

// Error implements error.
func (e *attemptError) Error() string { return e.outcome.String() + ": " + e.reason }

func unknown(reason string) error {
	return &attemptError{outcome: outcome.Unknown, reason: reason}
}

// attempt sends a call once, under an id of its own. It returns when the first
// byte of the answer was there and an error that is errWrong or an *attemptError.
func (d *driver) attempt(ctx context.Context, c *call, id string) (firstByte time.Time, err error) {
	daemon, err := d.balancer.Next()
	if err != nil {
		return time.Time{}, &attemptError{outcome: outcome.NotRun, reason: "no daemon is ready"}
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	// No GetBody and no replayable method: the client library must not send a
	// call again by itself.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, daemon+c.path, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return time.Time{}, unknown(err.Error())
	}
	request.ContentLength = int64(len(c.body))
	d.setHeaders(request, c, id)
	began := time.Now()
	response, err := d.client.Do(request)
	if err != nil {
		d.balancer.MarkDown(daemon)
		return time.Time{}, sendError(err)
	}
	defer response.Body.Close()
	firstByte = time.Now()
	if response.StatusCode != http.StatusOK {
		return firstByte, refusal(response, time.Since(began))
	}
	if c.streams() {
		return readStream(response, c)
	}
	return firstByte, readWhole(response, c)
}

func (d *driver) setHeaders(request *http.Request, c *call, attempt string) {
	request.Header.Set("Authorization", "Bearer "+d.options.Key)
	request.Header.Set(service.HeaderCallID, c.id)
	request.Header.Set(service.HeaderAttemptID, attempt)
	request.Header.Set("Content-Type", "application/octet-stream")
	if c.generates() {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.kind == Keyed {
		request.Header.Set(service.HeaderIdempotencyKey, "key-"+c.id)
	}
}

// sendError sorts a failure to send: what couldn't even connect didn't run.
func sendError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &attemptError{outcome: outcome.NotRun, reason: "connection refused"}
	}
	return unknown(reasonOf(err))
}

// reasonOf shortens a failure to its kind, without ports and names.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, syscall.ECONNRESET):
		return "connection reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	default:
		return "other: " + err.Error()
	}
}

// refusal reads a problem document.
func refusal(response *http.Response, took time.Duration) error {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	e := &attemptError{reason: fmt.Sprintf("status %d", response.StatusCode)}
	e.outcome = outcomeIn(raw)
	e.request = response.Header.Get(wire.HeaderRequestID)
	e.refused = &refused{status: response.StatusCode, took: took, retryAfter: response.Header.Get("Retry-After") != ""}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		e.retryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

// outcomeIn returns the outcome that a problem document names.
func outcomeIn(raw []byte) outcome.Outcome {
	type named struct {
		Outcome string `json:"outcome"`
	}
	var problem struct {
		named
		Error named `json:"error"` // within a stream
	}
	_ = json.Unmarshal(raw, &problem)
	name := cmp.Or(problem.Outcome, problem.Error.Outcome)
	for _, known := range []outcome.Outcome{outcome.NotRun, outcome.Ran} {
		if name == known.String() {
			return known
		}
	}
	return outcome.Unknown
}

func readWhole(response *http.Response, c *call) error {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return unknown("answer cut: " + reasonOf(err))
	}
	if !c.generates() {
		if !bytes.Equal(raw, c.body) {
			return fmt.Errorf("%w: %s: echo of %d bytes differs", errWrong, c.id, len(raw))
		}
		return nil
	}
	var whole wire.GenerateChunk
	if err := json.Unmarshal(raw, &whole); err != nil {
		return fmt.Errorf("%w: %s: %w", errWrong, c.id, err)
	}
	return check(c, textOf(whole))
}

// readStream reads events up to the end mark. A stream that ends without it is
// cut and counts as no answer.
func readStream(response *http.Response, c *call) (firstByte time.Time, err error) {
	if kind := response.Header.Get("Content-Type"); !strings.HasPrefix(kind, "text/event-stream") {
		return time.Now(), fmt.Errorf("%w: %s: a stream of type %q", errWrong, c.id, kind)
	}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxAnswer)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if firstByte.IsZero() {
			firstByte = time.Now()
		}
		if data == wire.StreamEnd {
			return firstByte, check(c, text.String())
		}
		var chunk wire.GenerateChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return firstByte, fmt.Errorf("%w: %s: %w", errWrong, c.id, err)
		}
		if len(chunk.Choices) == 0 {
			return firstByte, &attemptError{outcome: outcomeIn([]byte(data)), reason: "error within the stream"}
		}
		text.WriteString(textOf(chunk))
	}
	return firstByte, unknown("stream cut")
}

func textOf(chunk wire.GenerateChunk) string {
	if len(chunk.Choices) == 0 {
		return ""
	}
	choice := chunk.Choices[0]
	switch {
	case choice.Delta != nil:
		return choice.Delta.Content
	case choice.Message != nil:
		return choice.Message.Content
	default:
		return choice.Text
	}
}

func check(c *call, text string) error {
	if err := answer.CheckComplete(c.prompt, text, c.maxTokens); err != nil {
		return fmt.Errorf("%w: %s: %w", errWrong, c.id, err)
	}
	return nil
}

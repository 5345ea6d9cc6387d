package httpapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	headerRequestID          = "X-Request-Id"
	headerIdempotencyKey     = "Idempotency-Key"
	headerReplayed           = "Idempotent-Replayed"
	retryUnconfiguredSeconds = 2

	// defaultMaxBody bounds a caller's body where its team states no limit.
	defaultMaxBody = 1 << 20
	// maxStepBody bounds a submitted step.
	maxStepBody = 80 << 20
	// maxAdminBody bounds a change of configuration.
	maxAdminBody = 1 << 20
	// bodyTimeout bounds how long a whole body may take to arrive.
	bodyTimeout = time.Minute
)

// readBody reads a whole body of at most limit bytes. A body that is cut off is
// an error, never a shorter request. One that states too large a length is
// refused unread, so a client that sent "Expect: 100-continue" never sends it.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Problem) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	// A client that trickles a byte a minute would hold its connection and
	// buffer for good. The deadline is lifted again: behind the body it would
	// cut off the watch for the client's going away.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // unsupported by a writer in memory
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var overrun *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return data, nil
	case errors.As(err, &overrun):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(http.StatusRequestTimeout, fmt.Sprintf("the body took longer than %s", bodyTimeout))
	default:
		return nil, refusal(http.StatusBadRequest, "the body ended early or is badly framed")
	}
}

func tooLarge(limit int64) *Problem {
	return refusal(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
}

// readJSON reads a body of one JSON object into v.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) *Problem {
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return refusal(http.StatusUnsupportedMediaType, "a body with a Content-Encoding isn't read; send plain JSON")
	}
	data, problem := readBody(w, r, limit)
	if problem != nil {
		return problem
	}
	return decodeStrict(data, v)
}

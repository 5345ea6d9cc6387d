package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
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
)

// readBody reads a whole body of at most limit bytes. A body that is cut off is
// an error, never a shorter request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Problem) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := refuse(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
		return nil, &p
	}
	if err != nil {
		p := refuse(http.StatusBadRequest, "the body ended early")
		return nil, &p
	}
	return data, nil
}

// decodeStrict reads one JSON value with no unknown fields and nothing behind it.
func decodeStrict(data []byte, v any) *Problem {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		p := refuse(http.StatusBadRequest, "the body is not the JSON expected: "+err.Error())
		return &p
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		p := refuse(http.StatusBadRequest, "something stands behind the JSON value")
		return &p
	}
	return nil
}

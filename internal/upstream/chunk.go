package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// crossedError: an event belongs to another request.
type crossedError struct{ got, want string }

func (e *crossedError) Error() string {
	return fmt.Sprintf("event is for request %q, not %q", e.got, e.want)
}

// malformedError: an event can't be read or lacks what its sample's label needs.
type malformedError struct{ err error }

func (e *malformedError) Error() string { return "event: " + e.err.Error() }
func (e *malformedError) Unwrap() error { return e.err }

// parseChunk reads the data of one event of the request id.
func parseChunk(data []byte, id ident.RequestID) (Chunk, error) {
	if !utf8.Valid(data) {
		// encoding/json would put U+FFFD in place of what was sent.
		return Chunk{}, &malformedError{errors.New("not UTF-8")}
	}
	var w wire.GenerateChunk
	if err := json.Unmarshal(data, &w); err != nil {
		return Chunk{}, &malformedError{err}
	}
	if w.ID != string(id) {
		return Chunk{}, &crossedError{got: w.ID, want: string(id)}
	}
	if len(w.Choices) != 1 {
		return Chunk{}, &malformedError{fmt.Errorf("%d choices", len(w.Choices))}
	}
	return checkChunk(w)
}

// checkChunk refuses text or tokens that no weight version answers for.
func checkChunk(w wire.GenerateChunk) (Chunk, error) {
	v, err := version(w.WeightVersion)
	if err != nil {
		return Chunk{}, err
	}
	c := Chunk{
		Text:         choiceText(w.Choices[0]),
		Tokens:       w.Tokens,
		Version:      v,
		CachedTokens: w.CachedTokens,
	}
	if reason := w.Choices[0].FinishReason; reason != nil {
		c.FinishReason = *reason
	}
	if c.Tokens < 0 || c.CachedTokens < 0 {
		return Chunk{}, &malformedError{errors.New("negative token count")}
	}
	if v == 0 && (c.Tokens > 0 || c.Text != "") {
		return Chunk{}, &malformedError{errors.New("tokens without weight_version")}
	}
	return c, nil
}

func choiceText(c wire.Choice) string {
	if c.Delta != nil {
		return c.Delta.Content
	}
	return c.Text
}

// version is a wire version; negative ones don't exist.
func version(v int64) (ident.Version, error) {
	if v < 0 {
		return 0, &malformedError{fmt.Errorf("weight version %d", v)}
	}
	return ident.Version(v), nil
}

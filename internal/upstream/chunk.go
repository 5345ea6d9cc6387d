package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// crossedError is returned for an event or a score that belongs to another request.
type crossedError struct{ got, want string } // request IDs

func (e *crossedError) Error() string {
	return fmt.Sprintf("data is for request %q, not %q", e.got, e.want)
}

// malformedError is returned for an event that can't be parsed, or that lacks the weight
// version with which its sample has to be labelled.
type malformedError struct{ err error }

func (e *malformedError) Error() string { return "event: " + e.err.Error() }
func (e *malformedError) Unwrap() error { return e.err }

// parseChunk parses the data of one event of the request id.
func parseChunk(data []byte, id ident.RequestID) (Chunk, error) {
	if !utf8.Valid(data) {
		// encoding/json would replace invalid bytes by U+FFFD.
		return Chunk{}, &malformedError{errors.New("not valid UTF-8")}
	}
	var w wire.GenerateChunk
	if err := json.Unmarshal(data, &w); err != nil {
		return Chunk{}, &malformedError{err}
	}
	if w.ID != string(id) {
		return Chunk{}, &crossedError{got: w.ID, want: string(id)}
	}
	if len(w.Choices) != 1 {
		return Chunk{}, &malformedError{fmt.Errorf("%d choices in place of 1", len(w.Choices))}
	}
	return convertChunk(w)
}

// convertChunk converts a chunk. Text or tokens without a weight version are an error.
func convertChunk(w wire.GenerateChunk) (Chunk, error) {
	v, err := parseVersion(w.WeightVersion)
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

// choiceText returns the text of a choice of a chat or of a plain completion.
func choiceText(c wire.Choice) string {
	if c.Delta != nil {
		return c.Delta.Content
	}
	return c.Text
}

// parseVersion converts a weight version. A negative one is an error.
func parseVersion(v int64) (ident.Version, error) {
	if v < 0 {
		return 0, &malformedError{fmt.Errorf("negative weight version %d", v)}
	}
	return ident.Version(v), nil
}

package upstream

import (
	"errors"
	"fmt"
	"io"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

var errNoEndMarker = errors.New("event stream ended without " + wire.StreamEnd)

// stoppedError is returned if the caller's function for chunks failed.
type stoppedError struct{ err error }

func (e *stoppedError) Error() string { return "caller stopped the stream: " + e.err.Error() }
func (e *stoppedError) Unwrap() error { return e.err }

// chunkStream reads the chunks of one completion.
type chunkStream struct {
	requestID ident.RequestID
	events    *eventReader
	merger    merger
	maxTokens int // of the rest of the completion, 0: no limit
	tokens    int // received; an event with text has one at least
	bare      int // events received that have neither text nor tokens
}

// maxBareEvents is above the number of events without text or tokens of any response: the first and
// the last one may be such.
const maxBareEvents = 64

func newChunkStream(body io.Reader, r GenerateRequest, maxEventBytes int) *chunkStream {
	s := &chunkStream{requestID: r.ID, events: newEventReader(body, maxEventBytes)}
	if r.MaxTokens > 0 {
		s.maxTokens = max(1, r.MaxTokens-r.ResumeTokens)
	}
	return s
}

// checkLength counts a chunk. A response that goes on behind the completion's largest length isn't
// the request's.
func (s *chunkStream) checkLength(c Chunk) error {
	switch {
	case c.Tokens == 0 && c.Text == "":
		s.bare++
	default:
		s.tokens += max(1, c.Tokens)
	}
	if s.maxTokens > 0 && (s.tokens > s.maxTokens || s.bare > maxBareEvents) {
		return &malformedError{fmt.Errorf("over %d tokens or %d events without any", s.maxTokens, maxBareEvents)}
	}
	return nil
}

// read calls emit for the chunks up to the end marker. Chunks that have already been received
// are merged first, since each chunk has a cost at every later hop. A chunk that is pending
// when the next event turns out to belong to another request or to be malformed is dropped:
// it was not emitted, so a resumed generation produces it again.
//
// Errors: errNoEndMarker, *crossedError, *malformedError, *stoppedError and those of the
// body's reader.
func (s *chunkStream) read(emit func(Chunk) error) error {
	for {
		data, err := s.events.next()
		if errors.Is(err, io.EOF) {
			return errNoEndMarker
		}
		if err != nil {
			return err
		}
		if string(data) == wire.StreamEnd {
			return s.emitChunk(s.merger.flush(), emit)
		}
		if err := s.processEvent(data, emit); err != nil {
			return err
		}
	}
}

// processEvent parses one event and emits the chunks that needn't wait for further events.
func (s *chunkStream) processEvent(data []byte, emit func(Chunk) error) error {
	chunk, err := parseChunk(data, s.requestID)
	if err != nil {
		return err
	}
	if err := s.checkLength(chunk); err != nil {
		return err
	}
	if err := s.emitChunk(s.merger.add(chunk), emit); err != nil {
		return err
	}
	if !s.merger.disabled && s.events.eventBuffered() {
		return nil
	}
	return s.emitChunk(s.merger.flush(), emit)
}

// emitChunk calls emit for a chunk, nil: none.
func (s *chunkStream) emitChunk(c *Chunk, emit func(Chunk) error) error {
	if c == nil {
		return nil
	}
	if err := emit(*c); err != nil {
		return &stoppedError{err}
	}
	return nil
}

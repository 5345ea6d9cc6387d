package upstream

import (
	"errors"
	"io"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

var errNoEnd = errors.New("event stream ended without " + wire.StreamEnd)

// stoppedError: the caller's function returned an error.
type stoppedError struct{ err error }

func (e *stoppedError) Error() string { return "caller stopped the stream: " + e.err.Error() }
func (e *stoppedError) Unwrap() error { return e.err }

// stream reads the chunks of one generation.
type stream struct {
	id     ident.RequestID
	events *eventReader
	merge  merger
}

func newStream(in io.Reader, id ident.RequestID, maxEventBytes int) *stream {
	return &stream{id: id, events: newEventReader(in, maxEventBytes)}
}

// read calls emit for the chunks until the end mark. Chunks whose bytes are already
// here are merged first: every hop behind this one pays by the chunk. A chunk
// that waits for its neighbours when the stream turns out crossed or malformed is
// dropped: it was never handed out, so a resume makes it again.
//
// Errors: errNoEnd, *crossedError, *malformedError, *stoppedError, the reader's.
func (s *stream) read(emit func(Chunk) error) error {
	for {
		data, err := s.events.next()
		if errors.Is(err, io.EOF) {
			return errNoEnd
		}
		if err != nil {
			return err
		}
		if string(data) == wire.StreamEnd {
			return s.emit(s.merge.take(), emit)
		}
		if err := s.accept(data, emit); err != nil {
			return err
		}
	}
}

// accept takes one event in; what can't wait for the next one goes out.
func (s *stream) accept(data []byte, emit func(Chunk) error) error {
	chunk, err := parseChunk(data, s.id)
	if err != nil {
		return err
	}
	if err := s.emit(s.merge.add(chunk), emit); err != nil {
		return err
	}
	if !s.merge.off && s.events.buffered() {
		return nil
	}
	return s.emit(s.merge.take(), emit)
}

func (s *stream) emit(c *Chunk, emit func(Chunk) error) error {
	if c == nil {
		return nil
	}
	if err := emit(*c); err != nil {
		return &stoppedError{err}
	}
	return nil
}

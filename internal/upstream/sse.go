package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// streamBufferBytes holds some twenty events of a token. Longer lines are put
// together from parts.
const streamBufferBytes = 4 << 10

var (
	errEventTooLarge = errors.New("event exceeds its bound")
	errUnknownField  = errors.New("unknown field in the event stream")
)

// eventReader reads server-sent events. It is written on bufio because the two
// things that matter here aren't offered together by the usual libraries: a
// bound on an event's bytes that holds before they are stored, and an end of the
// stream that isn't taken for the end of an event. (WHATWG HTML, 9.2.6: an event
// without its blank line is dropped.)
type eventReader struct {
	in       *bufio.Reader
	maxBytes int
	data     []byte // of the event being read
	hasData  bool
	size     int // bytes of the event so far, with comments and other fields
}

func newEventReader(in io.Reader, maxBytes int) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, streamBufferBytes), maxBytes: maxBytes}
}

// next returns the data of the next event; it is valid until the next call.
// io.EOF says that the stream ended, also in the midst of an event. A
// *malformedError says that an event is too large. Other errors are the reader's.
func (r *eventReader) next() ([]byte, error) {
	r.data, r.hasData, r.size = r.data[:0], false, 0
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) > 0 {
			if err := r.field(line); err != nil {
				return nil, err
			}
			continue
		}
		if r.hasData {
			return r.data, nil
		}
		r.size = 0 // a block of comments is no event
	}
}

// line returns one line without its end, LF or CR LF. (A lone CR, which the
// standard allows too, is data here: no engine sends it.)
func (r *eventReader) line() ([]byte, error) {
	part, err := r.in.ReadSlice('\n')
	if err == nil {
		return r.count(part)
	}
	var long []byte // a line longer than the buffer
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long)+len(part) > r.maxBytes {
			return nil, &malformedError{errEventTooLarge}
		}
		long = append(long, part...)
		part, err = r.in.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	return r.count(append(long, part...))
}

func (r *eventReader) count(line []byte) ([]byte, error) {
	r.size += len(line)
	if r.size > r.maxBytes {
		return nil, &malformedError{errEventTooLarge}
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// field keeps the data field; comments, event, id and retry mean nothing here.
// The standard ignores other names. Here a name that doesn't exist may be a
// damaged "data", and a stream with one event lost would still end whole.
func (r *eventReader) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "id", "retry":
		return nil
	case "data":
	default:
		return &malformedError{errUnknownField}
	}
	if r.hasData {
		r.data = append(r.data, '\n')
	}
	r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
	r.hasData = true
	return nil
}

// buffered reports whether a whole event has arrived, so that next won't wait. A
// comment's blank line is no event: the caller would sit on its chunk until the
// next one. So only what begins with data counts.
func (r *eventReader) buffered() bool {
	ahead, _ := r.in.Peek(r.in.Buffered())
	if !bytes.HasPrefix(ahead, []byte("data:")) {
		return false
	}
	return bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n"))
}

// drain reads the answer's end, if there is nothing but an end.
func (r *eventReader) drain() { _, _ = r.in.ReadByte() }

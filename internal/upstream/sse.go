package upstream

import (
	"bytes"
	"errors"
	"io"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/eventlines"
)

var (
	errEventTooLarge = errors.New("event exceeds the size limit")
	errUnknownField  = errors.New("unknown field in the event stream")
)

// eventReader reads server-sent events. The usual libraries don't offer both of these: a limit on
// the size of an event that is applied before the bytes are stored, and an end of the stream that
// doesn't count as the end of an event. (WHATWG HTML, 9.2.6: an event without its blank line is
// dropped.)
type eventReader struct {
	lines   *eventlines.Reader
	data    []byte // data of the event being read
	hasData bool
}

func newEventReader(body io.Reader, maxEventBytes int) *eventReader {
	return &eventReader{lines: eventlines.New(body, maxEventBytes)}
}

// next returns the data of the next event, which is valid until the next call. The error is
// io.EOF at the end of the stream, even within an event, a *malformedError for an event that is
// too large or has an unknown field, or an error of the underlying reader. The size of an event
// includes the blocks without data before it, such as comments.
func (r *eventReader) next() ([]byte, error) {
	r.data, r.hasData = r.data[:0], false
	r.lines.Reset()
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) > 0 {
			if err := r.processField(line); err != nil {
				return nil, err
			}
			continue
		}
		if r.hasData {
			return r.data, nil
		}
	}
}

// readLine returns one line without its end, LF or CR LF. A CR alone, which the standard
// allows as a line end too, counts as data, since no engine sends it.
func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.lines.Next()
	if errors.Is(err, eventlines.ErrTooLong) {
		return nil, &malformedError{errEventTooLarge}
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// processField appends the value of a data field to the data of the event and ignores
// comments, event, id and retry. The standard ignores other names too. Here they are an error:
// such a name may be a corrupted "data", and without the check the stream would count as
// complete although an event is missing.
func (r *eventReader) processField(line []byte) error {
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

// eventBuffered reports whether a complete event is in the buffer, so that next won't block.
// Only data that starts with a data field counts: the blank line after a comment doesn't end
// an event, and the caller would hold its pending chunk back until the next event arrives.
func (r *eventReader) eventBuffered() bool {
	buffered := r.lines.Buffered()
	if !bytes.HasPrefix(buffered, []byte("data:")) {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// readEnd reads the end of the response if no data precedes it.
func (r *eventReader) readEnd() { r.lines.ReadEnd() }

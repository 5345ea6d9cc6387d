package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// streamBufferBytes is enough for about twenty events of one token each. Longer lines are
// assembled from several reads of the buffer.
const streamBufferBytes = 4 << 10

var (
	errEventTooLarge = errors.New("event exceeds the size limit")
	errUnknownField  = errors.New("unknown field in the event stream")
)

// eventReader reads server-sent events. It is implemented on bufio, since the usual libraries
// don't offer both of these: a limit on the size of an event that is applied before the bytes
// are stored, and an end of the stream that doesn't count as the end of an event. (WHATWG
// HTML, 9.2.6: an event without its blank line is dropped.)
type eventReader struct {
	reader        *bufio.Reader
	maxEventBytes int
	data          []byte // data of the event being read
	hasData       bool
	eventBytes    int // size of the event so far, including comments and other fields
}

func newEventReader(body io.Reader, maxEventBytes int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, streamBufferBytes), maxEventBytes: maxEventBytes}
}

// next returns the data of the next event, which is valid until the next call. The error is
// io.EOF at the end of the stream, even within an event, a *malformedError for an event that is
// too large or has an unknown field, or an error of the underlying reader.
func (r *eventReader) next() ([]byte, error) {
	r.data, r.hasData, r.eventBytes = r.data[:0], false, 0
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
		r.eventBytes = 0 // a block without data, such as a comment, isn't an event
	}
}

// readLine returns one line without its end, LF or CR LF. A CR alone, which the standard
// allows as a line end too, counts as data, since no engine sends it.
func (r *eventReader) readLine() ([]byte, error) {
	part, err := r.reader.ReadSlice('\n')
	if err == nil {
		return r.finishLine(part)
	}
	var long []byte // a line longer than the buffer
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long)+len(part) > r.maxEventBytes {
			return nil, &malformedError{errEventTooLarge}
		}
		long = append(long, part...)
		part, err = r.reader.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	return r.finishLine(append(long, part...))
}

// finishLine adds a line to the size of the event and returns it without its end.
func (r *eventReader) finishLine(line []byte) ([]byte, error) {
	r.eventBytes += len(line)
	if r.eventBytes > r.maxEventBytes {
		return nil, &malformedError{errEventTooLarge}
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
	buffered, _ := r.reader.Peek(r.reader.Buffered())
	if !bytes.HasPrefix(buffered, []byte("data:")) {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// readEnd reads the end of the response if no data precedes it.
func (r *eventReader) readEnd() { _, _ = r.reader.ReadByte() }

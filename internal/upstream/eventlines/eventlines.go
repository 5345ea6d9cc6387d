// Package eventlines reads the lines of event streams within a limit on their bytes, which is
// applied before they are stored.
package eventlines

import (
	"bufio"
	"errors"
	"io"
)

// ErrTooLong is returned when the lines since the last call of Reset exceed the limit.
var ErrTooLong = errors.New("event exceeds the size limit")

// bufferBytes is enough for about twenty events of one token each. Longer lines are assembled
// from several reads of the buffer.
const bufferBytes = 4 << 10

// Reader reads lines. It is not safe for concurrent use.
type Reader struct {
	in    *bufio.Reader
	limit int
	used  int    // bytes read since Reset
	long  []byte // a line that is longer than the buffer
}

// New returns a Reader with a limit in bytes.
func New(in io.Reader, limit int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes), limit: limit}
}

// Reset makes the limit apply to the lines that follow.
func (r *Reader) Reset() { r.used = 0 }

// Next returns the next line with its end, LF or CR LF, valid until the next call. A CR alone
// counts as data. With an error other than ErrTooLong it returns what there is of the line.
func (r *Reader) Next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if r.used += len(part); r.used > r.limit {
			return nil, ErrTooLong
		}
		if err == nil && len(r.long) == 0 {
			return part, nil
		}
		r.long = append(r.long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.long, err
		}
	}
}

// Buffered returns the bytes that are read already and not returned yet.
func (r *Reader) Buffered() []byte {
	buffered, _ := r.in.Peek(r.in.Buffered()) // what is buffered can be peeked at
	return buffered
}

// ReadEnd reads one byte, to reach the end of the stream if nothing follows.
func (r *Reader) ReadEnd() { _, _ = r.in.ReadByte() }

package membudget

import (
	"errors"
	"io"
	"math"
)

var (
	// ErrNoRoom is returned if the budget has no room for the rest of a body.
	ErrNoRoom = errors.New("no room in the memory budget")
	// ErrTooLong is returned if a body is longer than its limit.
	ErrTooLong = errors.New("body exceeds the size limit")
)

const (
	minBuffer = 512
	// trustedLength is allocated at once for a body of known length. Of a longer body more is
	// allocated as it arrives, so that a length alone, without the bytes, takes no memory.
	trustedLength = 1 << 20
)

// Body describes a body to read.
type Body struct {
	Length  int64 // as announced, -1: unknown
	Limit   int64 // bytes that it may have
	Prepaid int64 // bytes of the lease that are for this body
}

// ReadAll reads a body to its end. The lease grows before the buffer does, by what exceeds
// b.Prepaid; after an error it is as before. Errors: ErrNoRoom, ErrTooLong, those of r.
func ReadAll(r io.Reader, b Body, lease *Lease) ([]byte, error) {
	if b.Length > b.Limit {
		return nil, ErrTooLong
	}
	held := b.Prepaid
	if b.Length > held {
		if !lease.Grow(b.Length - held) {
			return nil, ErrNoRoom
		}
		held = b.Length
	}
	data, held, err := readAll(r, b, held, lease)
	if err != nil {
		lease.Shrink(held - b.Prepaid)
		return nil, err
	}
	return data, nil
}

// readAll returns the bytes that are held afterwards as its second result.
func readAll(r io.Reader, b Body, held int64, lease *Lease) ([]byte, int64, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			next := b.capacity(int64(cap(data)))
			// The byte beyond an announced length is for reading the end.
			if more := next - 1 - held; more > 0 {
				if !lease.Grow(more) {
					return nil, held, ErrNoRoom
				}
				held += more
			}
			grown := make([]byte, len(data), next)
			copy(grown, data)
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > b.Limit:
			return nil, held, ErrTooLong
		case errors.Is(err, io.EOF):
			return data, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

// capacity returns the capacity of the buffer that replaces one with this capacity; 0 is none.
func (b Body) capacity(current int64) int64 {
	next := current + max(minBuffer, current/2)
	if b.Length >= 0 && current <= b.Length {
		if current == 0 {
			next = trustedLength
		}
		return min(b.Length+1, next)
	}
	if b.Limit < math.MaxInt64 {
		next = min(next, b.Limit+1)
	}
	return next
}

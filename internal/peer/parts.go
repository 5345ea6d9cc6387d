package peer

import (
	"errors"
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
)

const (
	// partBytes is the size of a body's parts.
	partBytes = 128 << 10
	// maxBody bounds a whole body: a step's samples with the JSON around them.
	maxBody = 256 << 20
)

// ErrTruncated says that a body ended before its last part.
var ErrTruncated = errors.New("peer: body ended early")

// sendBody sends a body in parts. The name goes with the first one.
func sendBody(to interface{ Send(*peerpb.Part) error }, name *peerpb.StepName, body []byte) error {
	if len(body) > maxBody {
		return fmt.Errorf("peer: a body of %d bytes, %d are the most", len(body), maxBody)
	}
	for first := true; first || len(body) > 0; first = false {
		n := min(len(body), partBytes)
		part := &peerpb.Part{Data: body[:n], Last: n == len(body)}
		if first {
			part.Step = name
		}
		if err := to.Send(part); err != nil {
			return fmt.Errorf("peer: send body: %w", err)
		}
		body = body[n:]
	}
	return nil
}

// recvBody puts a body together. A fault in its place is the error.
func recvBody(from interface{ Recv() (*peerpb.Part, error) }) (*peerpb.StepName, []byte, error) {
	var name *peerpb.StepName
	var body []byte
	for {
		part, err := from.Recv()
		if err != nil {
			return nil, nil, fmt.Errorf("%w after %d bytes: %w", ErrTruncated, len(body), err)
		}
		if fault := part.GetFault(); fault != nil {
			return nil, nil, decodeFault(fault)
		}
		if part.GetStep() != nil {
			name = part.GetStep()
		}
		if len(body)+len(part.GetData()) > maxBody {
			return nil, nil, fmt.Errorf("peer: a body of more than %d bytes", maxBody)
		}
		body = append(body, part.GetData()...)
		if part.GetLast() {
			return name, body, nil
		}
	}
}

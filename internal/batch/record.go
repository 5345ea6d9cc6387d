// Package batch decides what becomes of trainers' batches of samples: which
// records describe them, what the log's order makes of these records, and which
// sample runs next on which engine. It is pure: records, views and time go in,
// state and starts come out.
package batch

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed says that a record can't be read. It is skipped by every daemon alike.
var ErrMalformed = errors.New("batch: malformed record")

type recordKind byte

const (
	kindSubmitted recordKind = iota + 1
	kindProgress
	kindResult
	kindFailed
	kindEnded
)

// Submitted is a part of an accepted batch. The parts of one batch are appended
// together, all or none; the batch counts from its last part on.
type Submitted struct {
	Batch string `cbor:"1,keyasint"`
	// Copy tells the parts of one append from those of a second copy.
	Copy  string `cbor:"2,keyasint"`
	Part  int    `cbor:"3,keyasint"`
	Parts int    `cbor:"4,keyasint"`
	Head  *Head  `cbor:"5,keyasint,omitempty"` // in part 0
	Items []Item `cbor:"6,keyasint"`
}

// Head is what a batch's samples share.
type Head struct {
	Host       string `cbor:"1,keyasint"`
	Path       string `cbor:"2,keyasint"` // submitted to
	Model      string `cbor:"3,keyasint"`
	Step       int64  `cbor:"4,keyasint"`
	MinVersion int64  `cbor:"5,keyasint"` // oldest weights that may generate a token
	// WantedGroups is how many complete groups the trainer waits for.
	WantedGroups  int   `cbor:"6,keyasint"`
	SingleVersion bool  `cbor:"7,keyasint,omitempty"`
	MaxAttempts   int   `cbor:"8,keyasint"`
	RetentionMS   int64 `cbor:"9,keyasint"` // a sample may be given up this long after acceptance
	TargetMS      int64 `cbor:"10,keyasint"`
}

// Item is one sample to generate.
type Item struct {
	ID     string            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	Tokens int               `cbor:"5,keyasint"` // prompt and at most generated
	Group  string            `cbor:"6,keyasint"`
	// Expected is the caller's estimate of the tokens that will be generated, 0 unknown.
	Expected int `cbor:"7,keyasint,omitempty"`
}

// Event is one event of a sample's stream.
type Event struct {
	Data    string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"` // of the weights that made it
}

// Progress adds events to a sample's unfinished text, so that another daemon can
// go on behind them. It counts only if it begins where the kept text ends, and
// comes from the writer of that text or from one that went on from just there:
// the runs of two daemons for one sample have different texts of equal length.
type Progress struct {
	Batch  string  `cbor:"1,keyasint"`
	Item   int     `cbor:"2,keyasint"`
	From   int     `cbor:"3,keyasint"` // events kept before these
	Events []Event `cbor:"4,keyasint"`
	Writer string  `cbor:"5,keyasint"`           // unique to one owner's work on the sample
	After  string  `cbor:"6,keyasint,omitempty"` // writer of the text that Writer began with
	Base   int     `cbor:"7,keyasint,omitempty"` // events that Writer began with
}

// State is what became of a sample.
type State int

// The states of a sample.
const (
	Open State = iota
	Completed
	Dead // given up
)

// Result ends a sample. The first one in the log's order counts.
type Result struct {
	Batch  string  `cbor:"1,keyasint"`
	Item   int     `cbor:"2,keyasint"`
	State  State   `cbor:"3,keyasint"`
	Events []Event `cbor:"4,keyasint,omitempty"`
}

// Failed counts an upstream's answer that the sample failed there.
type Failed struct {
	Batch string `cbor:"1,keyasint"`
	Item  int    `cbor:"2,keyasint"`
	// Attempt is unique, so that a record appended twice counts once.
	Attempt string `cbor:"3,keyasint"`
}

// Ended says that the trainer wants nothing more of the batch.
type Ended struct {
	Batch string `cbor:"1,keyasint"`
}

// Encode turns one of the record types of this package into log data.
func Encode(record any) ([]byte, error) {
	kind, err := kindOf(record)
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("batch: encode: %w", err)
	}
	return append([]byte{byte(kind)}, data...), nil
}

func kindOf(record any) (recordKind, error) {
	switch record.(type) {
	case Submitted:
		return kindSubmitted, nil
	case Progress:
		return kindProgress, nil
	case Result:
		return kindResult, nil
	case Failed:
		return kindFailed, nil
	case Ended:
		return kindEnded, nil
	}
	return 0, fmt.Errorf("batch: no record type: %T", record)
}

// Decode reads log data. Error: ErrMalformed.
func Decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, ErrMalformed
	}
	switch recordKind(data[0]) {
	case kindSubmitted:
		return decode[Submitted](data[1:])
	case kindProgress:
		return decode[Progress](data[1:])
	case kindResult:
		return decode[Result](data[1:])
	case kindFailed:
		return decode[Failed](data[1:])
	case kindEnded:
		return decode[Ended](data[1:])
	}
	return nil, fmt.Errorf("%w: kind %d", ErrMalformed, data[0])
}

func decode[T any](data []byte) (any, error) {
	var out T
	if err := cbor.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return out, nil
}

// itemOverheadBytes covers the fields of an encoded item beside its strings.
const itemOverheadBytes = 96

// Split divides a batch into the records of its append, none of them above limit
// bytes. A single item above the limit is an error.
func Split(id, copyID string, head Head, items []Item, limit int) ([]Submitted, error) {
	parts := []Submitted{{Batch: id, Copy: copyID, Head: &head}}
	room := limit - len(head.Host) - len(head.Path) - len(head.Model) - 2*itemOverheadBytes
	left := room
	for _, item := range items {
		size := item.size()
		if size > room {
			return nil, fmt.Errorf("batch: item %s has %d bytes, the limit is %d", item.ID, size, room)
		}
		if size > left {
			parts = append(parts, Submitted{Batch: id, Copy: copyID})
			left = room
		}
		last := &parts[len(parts)-1]
		last.Items = append(last.Items, item)
		left -= size
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts, nil
}

func (i Item) size() int {
	n := itemOverheadBytes + len(i.ID) + len(i.Path) + len(i.Body) + len(i.Group)
	for name, value := range i.Header {
		n += len(name) + len(value) + 6
	}
	return n
}

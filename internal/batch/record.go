// Package batch decides what becomes of trainers' batches of samples: which
// records describe them, what the log's order makes of these records, and which
// sample runs next on which engine. It is pure: records, views and time go in,
// state and starts come out.
//
// Two kinds of data lie in the log. Records are small and say what holds; every
// daemon reads all of them. Blobs hold requests and generated text; records name
// them by their offset, and a daemon reads the few that it needs.
package batch

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed says that a record or blob can't be read. Every daemon skips it alike.
var ErrMalformed = errors.New("batch: malformed record")

type recordKind byte

const (
	kindAccepted recordKind = iota + 1
	kindProgress
	kindResult
	kindFailed
	kindEnded
	kindLoaded
)

// Accepted is a part of an accepted batch. The parts of one batch are appended
// together, all or none; the batch counts from its last part on.
type Accepted struct {
	Batch string `cbor:"1,keyasint"` // Key of the batch, as in all records
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
	// Requests lie in blobs from this offset on, so many items in each.
	RequestsAt    int64 `cbor:"11,keyasint"`
	RequestCounts []int `cbor:"12,keyasint"`
	// Customer that the batch belongs to, "" where callers have none.
	Customer string `cbor:"14,keyasint,omitempty"`
	// AcceptedMS is when the batch was taken in, in Unix ms by the clock of that VM.
	AcceptedMS int64 `cbor:"13,keyasint,omitempty"`
}

// Key names a batch among those of all customers. A customer reaches its own batches only:
// whatever ID another one asks for, it asks for a batch of its own, and the same ID from
// another customer is another batch. The customer stands in front, escaped, so that no two
// pairs have one key. Where callers have no customers, the ID alone is the key.
func Key(customer, id string) string {
	if customer == "" {
		return id
	}
	return url.QueryEscape(customer) + keySeparator + id
}

// keySeparator stands in no escaped name.
const keySeparator = ":"

// Item is one sample to generate.
type Item struct {
	ID    string `cbor:"1,keyasint"`
	Group string `cbor:"2,keyasint"`
	// Expected is the caller's estimate of the tokens that will be generated, 0 unknown.
	Expected int `cbor:"3,keyasint,omitempty"`
	// Reward is the ID of the call that scores the text, "" for a sample without a score.
	Reward string `cbor:"4,keyasint,omitempty"`
}

// Request is what an engine is asked for a sample.
type Request struct {
	Path   string            `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint"`
	Body   []byte            `cbor:"3,keyasint"`
	// Reward is the call that scores the text, nil for a sample without a score.
	Reward *RewardCall `cbor:"4,keyasint,omitempty"`
}

// RewardCall is made when a sample's text is whole. The signature of its answer is
// the sample's score. It may run more than once.
type RewardCall struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Event is one event of a sample's stream.
type Event struct {
	Data    string
	Version int64 // of the weights that made it
}

// Segment is a piece of a sample's text in a blob.
type Segment struct {
	At     int64 `cbor:"1,keyasint"` // offset of the blob, -1 if it holds no event
	Events int   `cbor:"2,keyasint"`
	// Versions of the weights that made the events, each for so many in a row.
	Versions []VersionRun `cbor:"3,keyasint"`
}

// VersionRun is a number of events in a row that one version made.
type VersionRun struct {
	Version int64 `cbor:"1,keyasint"`
	Events  int   `cbor:"2,keyasint"`
}

// Link is where a piece of text belongs. It counts only if it begins where the
// kept text ends, and comes from the writer of that text or from one that went on
// from just there: the runs of two daemons for one sample have different texts of
// equal length.
type Link struct {
	From   int    `cbor:"1,keyasint"` // events kept before these
	Writer string `cbor:"2,keyasint"` // unique to one owner's work on the sample
	// After is the writer of the text that Writer began with, and Base how many
	// events that had.
	After string `cbor:"3,keyasint,omitempty"`
	Base  int    `cbor:"4,keyasint,omitempty"`
}

// Progress adds to a sample's unfinished text, so that another daemon can go on
// behind it.
type Progress struct {
	Batch   string  `cbor:"1,keyasint"`
	Item    int     `cbor:"2,keyasint"`
	Link    Link    `cbor:"3,keyasint"`
	Segment Segment `cbor:"4,keyasint"`
	// Whole: the text ends with this piece. It is written for samples that are scored
	// next, so that the owner after this one doesn't generate the text again.
	Whole bool `cbor:"5,keyasint,omitempty"`
}

// State is what became of a sample.
type State int

// The states of a sample.
const (
	Open State = iota
	Completed
	Dead // given up
)

// Result ends a sample. The first one in the log's order counts. Segment is the
// last piece of a completed text. A scored sample's text is whole before, and Link
// names the text that was scored.
type Result struct {
	Batch   string  `cbor:"1,keyasint"`
	Item    int     `cbor:"2,keyasint"`
	State   State   `cbor:"3,keyasint"`
	Link    Link    `cbor:"4,keyasint,omitempty"`
	Segment Segment `cbor:"5,keyasint,omitempty"`
	Score   string  `cbor:"6,keyasint,omitempty"`
}

// Failed counts an upstream's answer that the sample, or its reward call, failed there.
type Failed struct {
	Batch string `cbor:"1,keyasint"`
	Item  int    `cbor:"2,keyasint"`
	// Attempt is unique, so that a record appended twice counts once.
	Attempt string `cbor:"3,keyasint"`
	Reward  bool   `cbor:"4,keyasint,omitempty"` // it was the reward call
}

// Ended says that the trainer wants nothing more of the batch.
type Ended struct {
	Batch string `cbor:"1,keyasint"`
}

// Loaded says that an engine serves a version of the partition's model, ahead of the
// engine's own next entry.
type Loaded struct {
	Engine  string `cbor:"1,keyasint"` // ID
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Started is the start of the engine that loaded it, 0 unknown: one that has started
	// again since may not serve it.
	Started int64 `cbor:"4,keyasint,omitempty"`
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
	case Accepted:
		return kindAccepted, nil
	case Progress:
		return kindProgress, nil
	case Result:
		return kindResult, nil
	case Failed:
		return kindFailed, nil
	case Ended:
		return kindEnded, nil
	case Loaded:
		return kindLoaded, nil
	}
	return 0, fmt.Errorf("batch: no record type: %T", record)
}

// Decode reads log data. Error: ErrMalformed.
func Decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, ErrMalformed
	}
	switch recordKind(data[0]) {
	case kindAccepted:
		return decode[Accepted](data[1:])
	case kindProgress:
		return decode[Progress](data[1:])
	case kindResult:
		return decode[Result](data[1:])
	case kindFailed:
		return decode[Failed](data[1:])
	case kindEnded:
		return decode[Ended](data[1:])
	case kindLoaded:
		return decode[Loaded](data[1:])
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

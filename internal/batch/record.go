// Package batch holds the rules for trainers' batches of samples: the log records that
// describe a batch, the state that follows from the order of these records, and the choice
// of which sample starts next on which engine. It does no I/O, and the caller passes in the
// time.
//
// The log holds two kinds of data. Records are small and describe the state; every daemon
// reads all of them. Blobs hold requests and generated text; records refer to them by their
// offset, and a daemon reads only those that it needs.
//
// A daemon that runs a batch's samples is an owner. There may be two of them for a moment,
// when a partition passes from one daemon to another.
package batch

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed says that a record or blob can't be decoded. Every daemon skips such a record.
var ErrMalformed = errors.New("batch: malformed record")

type recordKind byte

const (
	kindAccepted recordKind = iota + 1
	kindProgress
	kindResult
	kindFailed
	kindEnded
	kindLoaded
	kindRetracted
)

// Accepted is one part of the record of an accepted batch, which is split since the size of a
// record is limited. The parts are appended together, all or none. The batch is accepted at its
// last part.
type Accepted struct {
	Batch string `cbor:"1,keyasint"` // Key of the batch, as in all records
	// SubmissionID is a unique ID of the submission. It keeps the parts of a batch that is submitted
	// twice apart.
	SubmissionID string  `cbor:"2,keyasint"`
	Part         int     `cbor:"3,keyasint"`           // number of this part, from 0
	Parts        int     `cbor:"4,keyasint"`           // how many parts the batch has
	Header       *Header `cbor:"5,keyasint,omitempty"` // only in part 0
	Items        []Item  `cbor:"6,keyasint"`
}

// Header holds what all samples of a batch have in common.
type Header struct {
	Host       string `cbor:"1,keyasint"` // that the batch was submitted to
	Path       string `cbor:"2,keyasint"` // that the batch was submitted to
	Model      string `cbor:"3,keyasint"`
	Step       int64  `cbor:"4,keyasint"` // number of the training step
	MinVersion int64  `cbor:"5,keyasint"` // oldest weights version that may generate a token
	// WantedGroups is how many complete groups the trainer waits for.
	WantedGroups  int   `cbor:"6,keyasint"`
	SingleVersion bool  `cbor:"7,keyasint,omitempty"` // one version generates a sample's whole text
	MaxAttempts   int   `cbor:"8,keyasint"`           // failed attempts after which a sample is given up
	RetentionMS   int64 `cbor:"9,keyasint"`           // a sample may be given up this long after acceptance
	TargetMS      int64 `cbor:"10,keyasint"`          // the batch should be complete this long after acceptance
	// RequestsOffset is the offset of the first of the consecutive blobs with the requests.
	RequestsOffset int64 `cbor:"11,keyasint"`
	// RequestCounts holds the number of requests in each of these blobs.
	RequestCounts []int `cbor:"12,keyasint"`
	// Customer is the customer that the batch belongs to, "" if callers have none.
	Customer string `cbor:"14,keyasint,omitempty"`
	// AcceptedMS is when the batch was accepted, in Unix ms by the clock of the accepting VM.
	AcceptedMS int64 `cbor:"13,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration by which the batch was accepted.
	ConfigVersion int64 `cbor:"15,keyasint,omitempty"`
}

// Key returns the key of a batch, which is unique among the batches of all customers. The
// customer is part of the key, so a customer reaches only its own batches: the same ID from
// another customer names another batch. The customer is escaped, so no two pairs of customer
// and ID have the same key. Without a customer the ID alone is the key.
func Key(customer, id string) string {
	if customer == "" {
		return id
	}
	return url.QueryEscape(customer) + keySeparator + id
}

// keySeparator never occurs in an escaped customer.
const keySeparator = ":"

// Item is one sample to generate.
type Item struct {
	ID    string `cbor:"1,keyasint"`
	Group string `cbor:"2,keyasint"` // ID of its group, which is complete once all its samples have a result
	// ExpectedTokens is the caller's estimate of how many tokens will be generated, 0 if unknown.
	ExpectedTokens int `cbor:"3,keyasint,omitempty"`
	// RewardCallID is the ID of the call that scores the text, "" for a sample without a score.
	RewardCallID string `cbor:"4,keyasint,omitempty"`
}

// Request is the request to an engine that generates a sample.
type Request struct {
	Path   string            `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint"`
	Body   []byte            `cbor:"3,keyasint"`
	// RewardCall is the call that scores the text, nil for a sample without a score.
	RewardCall *RewardCall `cbor:"4,keyasint,omitempty"`
}

// RewardCall is the call that scores a sample. It is made when the sample's text is
// complete. The signature of its response is the sample's score. It may run more than once.
type RewardCall struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Event is one event of the stream in which an engine sends a sample's text.
type Event struct {
	Data    string
	Version int64 // of the weights that generated it
}

// Segment is a run of consecutive events of a sample's text, stored in one blob.
type Segment struct {
	Offset int64 `cbor:"1,keyasint"` // offset of the blob, -1 if the segment has no events
	Events int   `cbor:"2,keyasint"` // number of events
	// Versions are the weights versions that generated the events, in order.
	Versions []VersionRun `cbor:"3,keyasint"`
}

// VersionRun is a number of consecutive events that one weights version generated.
type VersionRun struct {
	Version int64 `cbor:"1,keyasint"`
	Events  int   `cbor:"2,keyasint"` // number of events
}

// TextPosition is the position in a sample's text at which a segment continues it. The number of
// events alone doesn't identify it, since two owners that run the same sample generate
// different texts, so it also names the writer: one owner's work on the sample. A segment
// counts only if the text before the position is in the log, by the same writer or, for a
// writer's first segment, by the one whose text it resumed.
type TextPosition struct {
	Events int    `cbor:"1,keyasint"` // number of events before the position
	Writer string `cbor:"2,keyasint"` // unique ID of one owner's work on the sample
	// BaseWriter is the writer of the text that Writer resumed.
	BaseWriter string `cbor:"3,keyasint,omitempty"`
	// BaseEvents is the number of events of the text that Writer resumed.
	BaseEvents int `cbor:"4,keyasint,omitempty"`
}

// Progress appends a segment to a sample's unfinished text, so that another owner can
// resume from its end.
type Progress struct {
	Batch    string       `cbor:"1,keyasint"`
	Item     int          `cbor:"2,keyasint"` // index of the sample in the batch
	Position TextPosition `cbor:"3,keyasint"`
	Segment  Segment      `cbor:"4,keyasint"`
	// TextComplete says that the text is complete with this segment. It is set for samples that are
	// scored next, so that the next owner doesn't generate the text again.
	TextComplete bool `cbor:"5,keyasint,omitempty"`
}

// Retracted takes back the last part of a sample's text, which came from a response that proved
// malformed or was disproved by a later one, and all that was generated as its continuation. The
// text of a listed sample stays.
type Retracted struct {
	Batch string       `cbor:"1,keyasint"`
	Item  int          `cbor:"2,keyasint"` // index of the sample in the batch
	End   TextPosition `cbor:"3,keyasint"` // end of the text
	Kept  int          `cbor:"4,keyasint"` // number of its events that stay
}

// State says whether a sample has a result, and which.
type State int

// The states of a sample.
const (
	Open      State = iota // no result yet
	Completed              // its text, and its score if it has a reward call, are complete
	GivenUp                // given up
)

// Result is the result of a sample. The first one in the log's order counts. For a sample
// without a score, it holds the last segment of the text. The text of a sample with a score is
// complete before, and the result names the end of the text that was scored.
type Result struct {
	Batch    string       `cbor:"1,keyasint"`
	Item     int          `cbor:"2,keyasint"` // index of the sample in the batch
	State    State        `cbor:"3,keyasint"` // not Open
	Position TextPosition `cbor:"4,keyasint,omitempty"`
	Segment  Segment      `cbor:"5,keyasint,omitempty"`
	Score    string       `cbor:"6,keyasint,omitempty"`
}

// Failed records a response of an upstream that says that a sample, or its reward call, failed.
type Failed struct {
	Batch string `cbor:"1,keyasint"`
	Item  int    `cbor:"2,keyasint"` // index of the sample in the batch
	// AttemptID is a unique ID of the attempt, so that a record that was appended twice counts
	// once.
	AttemptID    string `cbor:"3,keyasint"`
	InRewardCall bool   `cbor:"4,keyasint,omitempty"` // the reward call failed, not the sample
}

// Ended says that the trainer needs no further results of the batch.
type Ended struct {
	Batch string `cbor:"1,keyasint"`
}

// Loaded says that an engine serves a weights version of the partition's model. It tells
// daemons before the engine's next entry in the registry does.
type Loaded struct {
	Engine  string `cbor:"1,keyasint"` // ID of the upstream
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Started is the start time of the engine's process in Unix ms, 0 if unknown. After a
	// restart the engine may not serve the version any more.
	Started int64 `cbor:"4,keyasint,omitempty"`
}

// Encode encodes one of the record types of this package for the log.
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
	case Retracted:
		return kindRetracted, nil
	}
	return 0, fmt.Errorf("batch: %T is not a record type", record)
}

// Decode decodes a record of the log. Error: ErrMalformed.
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
	case kindRetracted:
		return decode[Retracted](data[1:])
	}
	return nil, fmt.Errorf("%w: kind %d", ErrMalformed, data[0])
}

// decoder reads whatever the encoder writes. The encoder takes any string and any number of
// elements; the library's default decoder rejects invalid UTF-8 and arrays above 131,072 elements,
// and a record that was stored and can't be read is lost at every daemon.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// maxElements is above what a record of the store can hold.
const maxElements = 1 << 24

func decode[T any](data []byte) (any, error) {
	var out T
	if err := decoder.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return out, nil
}

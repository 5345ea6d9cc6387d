package claims

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"unicode/utf8"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Limits on what one record of the claims stream may hold. A batch beyond them
// is neither written nor read.
const (
	MaxBatchRecords = 256
	MaxBatchBytes   = 8 << 20
	MaxScopeBytes   = 512
	MaxKeyBytes     = 255
	MaxNonceBytes   = 64
	MaxAnswerBody   = 4 << 10 // bytes of body that a done record keeps
	MaxAnswerHeader = 2 << 10 // bytes of header names and values that it keeps
)

// Kind says what a record does to its key.
type Kind string

// The kinds of record.
const (
	KindClaim   Kind = "claim"   // the nonce's owner wants to run the key's request
	KindRelease Kind = "release" // the nonce's owner didn't run it and never will
	KindDone    Kind = "done"    // the request ran; Answer may be replayed
)

// Answer is what the upstream answered. A done record without one says that the
// request ran and that the answer was too large to keep.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Fits reports whether a done record may carry the answer.
func (a *Answer) Fits() bool {
	return len(a.Body) <= MaxAnswerBody && a.headerBytes() <= MaxAnswerHeader
}

func (a *Answer) headerBytes() int {
	n := 0
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// size is the memory that the answer takes, roughly.
func (a *Answer) size() int { return len(a.Body) + a.headerBytes() }

// Record is one fact about one idempotency key.
type Record struct {
	Kind     Kind     `json:"kind"`
	Scope    string   `json:"scope"` // team and route
	Key      string   `json:"key"`
	Nonce    string   `json:"nonce"` // unique per claim, never used again
	VM       ident.VM `json:"vm"`
	BodyHash uint64   `json:"body_hash,omitempty"`
	Answer   *Answer  `json:"answer,omitempty"`
}

// ErrMalformed says that a batch breaks the format or a limit.
var ErrMalformed = errors.New("claims: malformed batch")

// CheckKey reports whether scope and key are within the limits.
func CheckKey(scope, key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, allowed 1 to %d", ErrMalformed, len(key), MaxKeyBytes)
	}
	if len(scope) > MaxScopeBytes {
		return fmt.Errorf("%w: scope of %d bytes, allowed %d", ErrMalformed, len(scope), MaxScopeBytes)
	}
	// JSON would turn two different invalid keys into one.
	if !utf8.ValidString(scope) || !utf8.ValidString(key) {
		return fmt.Errorf("%w: key isn't UTF-8", ErrMalformed)
	}
	return nil
}

func (r *Record) check() error {
	if err := CheckKey(r.Scope, r.Key); err != nil {
		return err
	}
	if r.Nonce == "" || len(r.Nonce) > MaxNonceBytes {
		return fmt.Errorf("%w: nonce of %d bytes", ErrMalformed, len(r.Nonce))
	}
	if r.Answer != nil && !r.Answer.Fits() {
		return fmt.Errorf("%w: answer too large", ErrMalformed)
	}
	switch r.Kind {
	case KindClaim, KindRelease, KindDone:
		return nil
	}
	return fmt.Errorf("%w: kind %q", ErrMalformed, r.Kind)
}

// EncodeBatch turns records into the data of one log record.
// Error: ErrMalformed.
func EncodeBatch(records []Record) ([]byte, error) {
	if err := checkBatch(records); err != nil {
		return nil, err
	}
	data, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// DecodeBatch reads the data of one log record. Every daemon skips a batch that
// doesn't decode, so all of them keep the same fold. Error: ErrMalformed.
func DecodeBatch(data []byte) ([]Record, error) {
	if len(data) > MaxBatchBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var records []Record
	if err := dec.Decode(&records); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if dec.More() {
		return nil, fmt.Errorf("%w: data behind the batch", ErrMalformed)
	}
	if err := checkBatch(records); err != nil {
		return nil, err
	}
	return records, nil
}

func checkBatch(records []Record) error {
	if len(records) == 0 || len(records) > MaxBatchRecords {
		return fmt.Errorf("%w: %d records", ErrMalformed, len(records))
	}
	for i := range records {
		if err := records[i].check(); err != nil {
			return err
		}
	}
	return nil
}

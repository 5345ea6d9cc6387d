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

// Limits on a batch, which is one record of the log's claims stream. A batch that exceeds
// them is neither written nor read.
const (
	MaxBatchRecords      = 256
	MaxBatchBytes        = 8 << 20 // of the encoded batch
	MaxScopeBytes        = 512
	MaxKeyBytes          = 255
	MaxNonceBytes        = 64
	MaxAnswerBodyBytes   = 4 << 10 // body of an answer kept in a done record
	MaxAnswerHeaderBytes = 2 << 10 // its header names and values
)

// Kind is the kind of a record.
type Kind string

// The kinds of record.
const (
	KindClaim   Kind = "claim"   // the writer wants to run the key's request
	KindRelease Kind = "release" // the writer didn't run the request under this nonce and never will
	KindDone    Kind = "done"    // the request has run; its answer may be replayed
)

// Answer is the upstream's answer to a request. A done record without an answer says that
// the request has run and that its answer can't be replayed, since there was none
// or it was too large to keep.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Fits reports whether the answer is small enough for a done record.
func (a *Answer) Fits() bool {
	return len(a.Body) <= MaxAnswerBodyBytes && a.headerBytes() <= MaxAnswerHeaderBytes
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

// sizeBytes returns the approximate memory size of the answer.
func (a *Answer) sizeBytes() int { return len(a.Body) + a.headerBytes() }

// Record is a claim, release or done record of one idempotency key.
type Record struct {
	Kind     Kind     `json:"kind"`
	Scope    string   `json:"scope"` // team and route
	Key      string   `json:"key"`
	Nonce    string   `json:"nonce"`               // identifies the claim; unique, never used again
	VM       ident.VM `json:"vm"`                  // that wrote the record
	BodyHash uint64   `json:"body_hash,omitempty"` // of the request
	Answer   *Answer  `json:"answer,omitempty"`
}

// ErrMalformed is returned for a batch that violates the format or a limit.
var ErrMalformed = errors.New("claims: malformed batch")

// CheckKey returns ErrMalformed if a scope or key exceeds the limits or isn't UTF-8.
func CheckKey(scope, key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key has %d bytes, want 1 to %d", ErrMalformed, len(key), MaxKeyBytes)
	}
	if len(scope) > MaxScopeBytes {
		return fmt.Errorf("%w: scope has %d bytes, want at most %d", ErrMalformed, len(scope), MaxScopeBytes)
	}
	// JSON replaces invalid bytes, so two different keys could become the same.
	if !utf8.ValidString(scope) || !utf8.ValidString(key) {
		return fmt.Errorf("%w: scope or key isn't UTF-8", ErrMalformed)
	}
	return nil
}

func (r *Record) validate() error {
	if err := CheckKey(r.Scope, r.Key); err != nil {
		return err
	}
	if r.Nonce == "" || len(r.Nonce) > MaxNonceBytes {
		return fmt.Errorf("%w: nonce has invalid length %d", ErrMalformed, len(r.Nonce))
	}
	if r.Answer != nil && !r.Answer.Fits() {
		return fmt.Errorf("%w: answer too large", ErrMalformed)
	}
	switch r.Kind {
	case KindClaim, KindRelease, KindDone:
		return nil
	}
	return fmt.Errorf("%w: unknown kind %q", ErrMalformed, r.Kind)
}

// EncodeBatch encodes records as one log record. It returns ErrMalformed if they exceed the
// limits.
func EncodeBatch(records []Record) ([]byte, error) {
	if err := validateBatch(records); err != nil {
		return nil, err
	}
	data, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// DecodeBatch decodes one log record. It returns ErrMalformed if that fails; every daemon
// then skips the batch, so all of them keep the same state.
func DecodeBatch(data []byte) ([]Record, error) {
	if len(data) > MaxBatchBytes {
		return nil, fmt.Errorf("%w: batch of %d bytes is too large", ErrMalformed, len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var records []Record
	if err := dec.Decode(&records); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if dec.More() {
		return nil, fmt.Errorf("%w: trailing data after the batch", ErrMalformed)
	}
	if err := validateBatch(records); err != nil {
		return nil, err
	}
	return records, nil
}

func validateBatch(records []Record) error {
	if len(records) == 0 || len(records) > MaxBatchRecords {
		return fmt.Errorf("%w: batch has invalid number of records %d", ErrMalformed, len(records))
	}
	for i := range records {
		if err := records[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Bounds on what comes from outside.
const (
	// MaxRecordBytes bounds a record in the log.
	MaxRecordBytes = 1 << 20
	// maxPlainBytes bounds a record after it was inflated.
	maxPlainBytes = 8 << 20
	// compressAbove is the size from which on a record is compressed, so that a
	// snapshot of a large tree fits.
	compressAbove = 16 << 10
	// compressedMark begins a compressed record; a plain one begins with "{".
	compressedMark = 'z'
)

// Op sets or deletes one setting of a branch.
type Op struct {
	Path   string          `json:"path"` // below the branch, by slashes; "" is the whole branch
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"` // back to the default, or the entry goes
}

// Change is one operator's change to one branch.
type Change struct {
	ID     string       `json:"id"` // unique; a second change with this ID is ignored
	Branch Branch       `json:"branch"`
	Base   ident.Offset `json:"base"` // BranchVersion that it was made on
	Ops    []Op         `json:"ops"`
	Author string       `json:"author"`
	At     time.Time    `json:"at"` // for people only
}

// Record is what the log's stream of the configuration holds: one of these.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Restore  *Restore  `json:"restore,omitempty"`
	Ask      *Ask      `json:"ask,omitempty"`
}

// kinds counts what the record holds.
func (r Record) kinds() (n int) {
	for _, held := range []bool{r.Change != nil, r.Snapshot != nil, r.Restore != nil, r.Ask != nil} {
		if held {
			n++
		}
	}
	return n
}

// EncodeRecord returns the bytes for the log. Error: ErrTooLarge.
func EncodeRecord(r Record) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("config: encode record: %w", err)
	}
	data := plain
	if len(plain) > compressAbove {
		data = compress(plain)
	}
	if len(plain) > maxPlainBytes || len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d compressed", ErrTooLarge, len(plain), len(data))
	}
	return data, nil
}

// DecodeRecord reads bytes of the log. Errors: *Error, ErrTooLarge.
func DecodeRecord(data []byte) (Record, error) {
	plain, err := inflate(data)
	if err != nil {
		return Record{}, err
	}
	var r Record
	if err := decodeStrict(plain, "record", &r); err != nil {
		return Record{}, err
	}
	if r.kinds() != 1 {
		return Record{}, fault("record", "must hold one of a change, a snapshot, a restore or an ask")
	}
	return r, nil
}

func compress(plain []byte) []byte {
	var buf bytes.Buffer
	buf.WriteByte(compressedMark)
	w, _ := flate.NewWriter(&buf, flate.BestCompression) // fails for a bad level only
	w.Write(plain)                                       //nolint:errcheck // a bytes.Buffer takes all
	w.Close()                                            //nolint:errcheck // a bytes.Buffer takes all
	return buf.Bytes()
}

// inflate undoes compress. A few bytes can inflate to gigabytes, so it stops
// reading at the bound rather than measure the result.
func inflate(data []byte) ([]byte, error) {
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxPlainBytes+1)
	plain, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("config: inflate record: %w", err)
	}
	if len(plain) > maxPlainBytes {
		return nil, fmt.Errorf("%w: more than %d bytes inflated", ErrTooLarge, maxPlainBytes)
	}
	return plain, nil
}

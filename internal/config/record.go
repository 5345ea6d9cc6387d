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

// Limits on records read from the log or from peers.
const (
	// MaxRecordBytes is the largest encoded record in the log.
	MaxRecordBytes = 1 << 20
	// maxUncompressedBytes is the largest record after decompression.
	maxUncompressedBytes = 8 << 20
	// compressionThresholdBytes is the size above which a record is compressed, so
	// that a snapshot of a large tree fits into one record.
	compressionThresholdBytes = 16 << 10
	// compressedPrefix is the first byte of a compressed record; an uncompressed one
	// begins with "{".
	compressedPrefix = 'z'
)

// Op sets or deletes one setting of a branch.
type Op struct {
	Path   string          `json:"path"` // slash-separated, relative to the branch; "" is the whole branch
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"` // resets a setting to its default, or removes a map entry
}

// Change is one operator's change to one branch.
type Change struct {
	ID     string       `json:"id"` // unique; a later change with the same ID is ignored
	Branch Branch       `json:"branch"`
	Base   ident.Offset `json:"base"` // branch version that the change is based on
	Ops    []Op         `json:"ops"`
	Author string       `json:"author"`
	At     time.Time    `json:"at"` // informational, not used in any decision
}

// Record is one record of the configuration's log stream. Exactly one field is
// set.
type Record struct {
	Change          *Change          `json:"change,omitempty"`
	Snapshot        *Snapshot        `json:"snapshot,omitempty"`
	Restore         *Restore         `json:"restore,omitempty"`
	SnapshotRequest *SnapshotRequest `json:"ask,omitempty"`
}

// payloadCount returns the number of fields that are set.
func (r Record) payloadCount() (n int) {
	for _, isSet := range []bool{r.Change != nil, r.Snapshot != nil, r.Restore != nil, r.SnapshotRequest != nil} {
		if isSet {
			n++
		}
	}
	return n
}

// EncodeRecord returns the record as bytes for the log. Error: ErrTooLarge.
func EncodeRecord(r Record) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("config: encode record: %w", err)
	}
	data := plain
	if len(plain) > compressionThresholdBytes {
		data = compress(plain)
	}
	if len(plain) > maxUncompressedBytes || len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d compressed", ErrTooLarge, len(plain), len(data))
	}
	return data, nil
}

// DecodeRecord decodes bytes from EncodeRecord. Errors: *Error, ErrTooLarge, and a
// decompression error.
func DecodeRecord(data []byte) (Record, error) {
	plain, err := decompress(data)
	if err != nil {
		return Record{}, err
	}
	var r Record
	if err := decodeStrict(plain, "record", &r); err != nil {
		return Record{}, err
	}
	if r.payloadCount() != 1 {
		return Record{}, newError("record", "must hold exactly one of change, snapshot, restore and ask")
	}
	return r, nil
}

func compress(plain []byte) []byte {
	var buf bytes.Buffer
	buf.WriteByte(compressedPrefix)
	w, _ := flate.NewWriter(&buf, flate.BestCompression) // fails only for an invalid level
	w.Write(plain)                                       //nolint:errcheck // a bytes.Buffer never fails
	w.Close()                                            //nolint:errcheck // a bytes.Buffer never fails
	return buf.Bytes()
}

// decompress reverses compress, and returns uncompressed data as it is. A few bytes
// can decompress to gigabytes, so it stops reading at maxUncompressedBytes instead
// of checking the size afterwards.
func decompress(data []byte) ([]byte, error) {
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	if len(data) == 0 || data[0] != compressedPrefix {
		return data, nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxUncompressedBytes+1)
	plain, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("config: decompress record: %w", err)
	}
	if len(plain) > maxUncompressedBytes {
		return nil, fmt.Errorf("%w: more than %d bytes after decompression", ErrTooLarge, maxUncompressedBytes)
	}
	return plain, nil
}

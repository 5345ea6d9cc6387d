package lease

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Limits on one record of a lease stream.
const (
	MaxRecordBytes = 1 << 20
	MaxUpstreams   = 4096
	MaxDuration    = 10 * time.Minute
)

// Record claims, renews or releases the leases on some upstreams. Its offset in the log is
// the fencing token.
type Record struct {
	Holder   ident.VM      `json:"holder"`
	Nonce    string        `json:"nonce"`       // identifies the holder's process; a restarted holder has another
	Seq      int64         `json:"seq"`         // sequence number among the records of this nonce
	Duration time.Duration `json:"duration_ns"` // of the leases
	// Renew restricts the record to leases that the nonce still holds. A renewal that is in
	// flight while another daemon takes over must not take the lease back.
	Renew     bool             `json:"renew,omitempty"`
	Release   bool             `json:"release,omitempty"` // gives the leases up
	Upstreams []ident.Upstream `json:"upstreams"`
}

// ErrMalformed is returned for a record that violates the format or a limit.
var ErrMalformed = errors.New("lease: malformed record")

// Encode encodes a record for the log. It returns ErrMalformed if the record is invalid.
func Encode(r Record) ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// Decode decodes a record of the log. It returns ErrMalformed if that fails; the record is
// then skipped.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, fmt.Errorf("%w: record of %d bytes is too large", ErrMalformed, len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if dec.More() {
		return r, fmt.Errorf("%w: trailing data after the record", ErrMalformed)
	}
	return r, r.validate()
}

func (r *Record) validate() error {
	switch {
	case r.Holder == "" || r.Nonce == "":
		return fmt.Errorf("%w: holder or nonce is missing", ErrMalformed)
	case r.Duration <= 0 || r.Duration > MaxDuration:
		return fmt.Errorf("%w: invalid duration %s", ErrMalformed, r.Duration)
	case len(r.Upstreams) == 0 || len(r.Upstreams) > MaxUpstreams:
		return fmt.Errorf("%w: invalid number of upstreams %d", ErrMalformed, len(r.Upstreams))
	}
	return nil
}

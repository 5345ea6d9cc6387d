package lease

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Limits on one record of a stream of leases.
const (
	MaxRecordBytes = 1 << 20
	MaxUpstreams   = 4096
	MaxDuration    = 10 * time.Minute
)

// Record claims, renews or gives up the leases on some upstreams. Its offset in
// the log is the fencing number.
type Record struct {
	Holder   ident.VM      `json:"holder"`
	Nonce    string        `json:"nonce"` // one process; a restarted holder has another
	Seq      int64         `json:"seq"`   // of this process's records
	Duration time.Duration `json:"duration_ns"`
	// Renew: counts only where the nonce still holds the lease. A renewal that was
	// under way while another daemon took over must not take the lease back.
	Renew     bool             `json:"renew,omitempty"`
	Release   bool             `json:"release,omitempty"`
	Upstreams []ident.Upstream `json:"upstreams"`
}

// ErrMalformed says that a record breaks the format or a limit.
var ErrMalformed = errors.New("lease: malformed record")

// Encode turns a record into log data. Error: ErrMalformed.
func Encode(r Record) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// Decode reads log data. Error: ErrMalformed; the record is then skipped.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if dec.More() {
		return r, fmt.Errorf("%w: data behind the record", ErrMalformed)
	}
	return r, r.check()
}

func (r *Record) check() error {
	switch {
	case r.Holder == "" || r.Nonce == "":
		return fmt.Errorf("%w: no holder", ErrMalformed)
	case r.Duration <= 0 || r.Duration > MaxDuration:
		return fmt.Errorf("%w: duration %s", ErrMalformed, r.Duration)
	case len(r.Upstreams) == 0 || len(r.Upstreams) > MaxUpstreams:
		return fmt.Errorf("%w: %d upstreams", ErrMalformed, len(r.Upstreams))
	}
	return nil
}

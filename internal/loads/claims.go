// Package loads decides who may order an engine to load weights, and which
// engines load when. It is pure: records of the claims' log, views and time go
// in; permits and orders come out. Not safe for concurrent use.
//
// # Claims
//
// Before each order a daemon appends a claim on the engine, as before each call of a duty
// on the duty. A claim names the offset up to which its daemon had read the log then; it is
// void if another VM's valid claim on the same subject stands between that offset and its
// own, so whoever reads the log judges alike. The daemon reads its claim back before it
// acts. The claim's offset is the order's fencing number: numbers grow, and no two claims
// share one.
//
// The order must leave within ClaimLife of the append's start, by a clock that goes on while
// the VM is suspended. A valid claim of another VM bars the engine for ClaimLife + the lease
// + ClaimMargin after it was read, so that no engine hears of two holders within the lease:
// the other's last order left at most ClaimLife after its claim, and its claim was in the
// log before it was read here.
//
// Were claims appended on the condition that the log hasn't grown, each claim on any engine
// would make all others that are on their way fail, and the more models load, the fewer come
// through.
package loads

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// ClaimLife is how long after the start of its append a claim permits an order.
	// An append takes some ms, or a few hundred when the store is slow.
	ClaimLife = 700 * time.Millisecond
	// ClaimMargin covers the way of an order to the engine.
	ClaimMargin = 300 * time.Millisecond
)

// Claim is what a VM writes before it orders an engine or does a duty.
type Claim struct {
	// Subject is the address of the engine, not its incarnation: one that restarts between
	// two VMs' orders would hear of two holders within the lease. Or it names a duty.
	Subject string `cbor:"1,keyasint"`
	Holder  string `cbor:"2,keyasint"` // VM
	// Seen is the offset behind the last record that the VM had read.
	Seen int64 `cbor:"3,keyasint"`
	// Token is of this claim alone, so that one whose append had no answer is found.
	Token uint64 `cbor:"4,keyasint"`
}

// Permit is a claim that this VM holds.
type Permit struct {
	Fence int64 // fencing number
	// Until which a call under this claim may leave, by a clock that goes on while the VM
	// is suspended.
	Until time.Duration
}

// Wish asks the VM that claimed an engine last to order a load: it may do so at
// once, while any other VM is barred.
type Wish struct {
	Engine  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Retain: runs may go on during the load.
	Retain bool `cbor:"4,keyasint,omitempty"`
	// Part is the partition of the model, whose owner wants to hear of the load.
	Part int `cbor:"5,keyasint,omitempty"`
}

// Record is an entry of the claims' log. Exactly one field is set.
type Record struct {
	Claim *Claim `cbor:"1,keyasint,omitempty"`
	Wish  *Wish  `cbor:"2,keyasint,omitempty"`
}

// ErrMalformed says that a record can't be read.
var ErrMalformed = errors.New("loads: malformed record")

// Encode turns a record into log data.
func Encode(r Record) ([]byte, error) { return cbor.Marshal(r) }

// Decode reads log data. Error: ErrMalformed.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}

// BarredFor is how long a claim that was just read bars other VMs from its subject.
func BarredFor(lease time.Duration) time.Duration { return ClaimLife + lease + ClaimMargin }

// Claims is the fold of the claims' log.
type Claims struct {
	self  string
	lease time.Duration
	last  map[string]held
}

type held struct {
	holder string
	token  uint64
	offset int64
	read   time.Duration
}

// NewClaims returns a fold that has read nothing. self is this VM, lease the time
// within which an engine may not hear of two holders.
func NewClaims(self string, lease time.Duration) *Claims {
	return &Claims{self: self, lease: lease, last: map[string]held{}}
}

// Apply takes the claim at an offset, read at a time. A void claim changes nothing.
func (c *Claims) Apply(offset int64, claim Claim, read time.Duration) {
	last, ok := c.last[claim.Subject]
	if ok && last.holder != claim.Holder && last.offset >= claim.Seen {
		return
	}
	c.last[claim.Subject] = held{claim.Holder, claim.Token, offset, read}
}

// Barred returns how long this VM must still not claim a subject, 0 if it may.
func (c *Claims) Barred(subject string, now time.Duration) time.Duration {
	h, ok := c.last[subject]
	if !ok || h.holder == c.self {
		return 0
	}
	return max(0, h.read+BarredFor(c.lease)-now)
}

// Holder returns who claimed a subject last.
func (c *Claims) Holder(subject string) (vm string, offset int64, ok bool) {
	h, ok := c.last[subject]
	return h.holder, h.offset, ok
}

// Holds returns the offset of this VM's claim with a token, false if it isn't the last valid
// one on its subject.
func (c *Claims) Holds(subject string, token uint64) (offset int64, ok bool) {
	h, ok := c.last[subject]
	return h.offset, ok && h.holder == c.self && h.token == token
}

// Age returns for how long the last claim on a subject has been known here.
func (c *Claims) Age(subject string, now time.Duration) time.Duration {
	return now - c.last[subject].read
}

// claimMemory is how long a claim that bars nobody any more is kept for operators: above the
// longest time between two calls of a duty in an incident.
const claimMemory = 10 * time.Minute

// Forget drops the claims that bar nobody any more and that nobody asks for.
func (c *Claims) Forget(now time.Duration) {
	for subject, h := range c.last {
		if now > h.read+max(claimMemory, BarredFor(c.lease)) {
			delete(c.last, subject)
		}
	}
}

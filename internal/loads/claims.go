// Package loads decides which VM may order an engine to load weights, which engines load
// when, and which engines and partitions belong to which model. It is pure: records of the
// claims log, the state of the engines and the time go in, permits and plans come out. Its
// types aren't safe for concurrent use.
//
// # Claims
//
// Before a VM orders an engine to load, it appends a claim on the engine to the claims log.
// Before each call of a duty, a fleet-wide task that one VM does at a time, it appends a
// claim on the duty. A claim names the offset up to which its VM had read the log. It is
// void if a valid claim of another VM on the same subject lies between that offset and its
// own, so all readers of the log agree on which claims are valid. The VM reads its claim
// back before it acts on it. The offset of a claim determines the fencing token of
// its order, so tokens only grow, and no two claims have the same.
//
// A claim has a short lifetime, which begins with the start of its append and is measured
// by a clock that keeps running while the VM is suspended. The order must be sent within
// it. Once a VM has read another VM's valid claim, it may not claim the engine itself for
// the claim's lifetime plus the lease plus the transit margin. So no engine gets orders of
// two holders within the lease: the other VM sent its last order at most one lifetime after
// its claim, and the claim was in the log before it was read here.
//
// Appends of claims aren't conditional on the end of the log. Otherwise each claim on any
// engine would make all other claims in flight fail, and the more models load, the fewer
// claims would succeed.
package loads

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// ClaimTTL is the lifetime of a claim: how long after the start of its append an order
	// may be sent. An append takes a few ms, or a few hundred when the store is slow.
	ClaimTTL = 700 * time.Millisecond
	// TransitMargin is the time that an order may take to reach the engine.
	TransitMargin = 300 * time.Millisecond
)

// Claim is the record that a VM appends before it sends an order to an engine or calls a
// duty.
type Claim struct {
	// Subject is the address of an engine or the name of a duty. It isn't the engine's
	// incarnation: an engine that restarts between the orders of two VMs would then get
	// orders of two holders within the lease.
	Subject string `cbor:"1,keyasint"`
	Holder  string `cbor:"2,keyasint"` // VM that appended the claim
	// NextOffset is the offset after the last record that the VM had read.
	NextOffset int64 `cbor:"3,keyasint"`
	// Nonce is unique to this claim. It lets the VM find the claim in the log even if the
	// append had no answer.
	Nonce uint64 `cbor:"4,keyasint"`
}

// Permit is the permission to send orders under a claim that this VM holds.
type Permit struct {
	Fence int64 // fencing token
	// ExpiresAt is the time at which the permit expires, on a clock that keeps running while the
	// VM is suspended. Calls under the claim must be sent before.
	ExpiresAt time.Duration
}

// LoadRequest asks the VM with the last claim on an engine to order a load. That VM may do so at
// once, while the claim blocks all others.
type LoadRequest struct {
	Engine  string `cbor:"1,keyasint"` // ID
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Retain reports whether samples keep running during the load.
	Retain bool `cbor:"4,keyasint,omitempty"`
	// Partition is the model's partition, where the load is recorded for the partition's owner.
	Partition int `cbor:"5,keyasint,omitempty"`
}

// Record is an entry of the claims log: a claim, or a request to load. Exactly one field is
// set.
type Record struct {
	Claim       *Claim       `cbor:"1,keyasint,omitempty"`
	LoadRequest *LoadRequest `cbor:"2,keyasint,omitempty"`
}

// ErrMalformed is returned for a record that can't be decoded.
var ErrMalformed = errors.New("loads: malformed record")

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) { return cbor.Marshal(r) }

// Decode decodes a record of the log. It returns ErrMalformed if that fails.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}

// BlockDuration returns how long a claim blocks its subject for other VMs, counted from the
// moment they read it. lease is the time within which an engine must not get orders of two
// holders.
func BlockDuration(lease time.Duration) time.Duration { return ClaimTTL + lease + TransitMargin }

// Claims holds the last valid claim on each subject, computed from the claims log.
type Claims struct {
	self  string // this VM
	lease time.Duration
	last  map[string]lastClaim // by subject
}

// lastClaim is the last valid claim on a subject.
type lastClaim struct {
	holder string
	nonce  uint64
	offset int64
	readAt time.Duration // time by which it was in the log, at the latest when it was read
}

// NewClaims returns a state without claims. self is this VM, lease the time within which an
// engine must not get orders of two holders.
func NewClaims(self string, lease time.Duration) *Claims {
	return &Claims{self: self, lease: lease, last: map[string]lastClaim{}}
}

// Apply applies the claim at an offset. readAt is a time by which the claim was in the log,
// at the latest the time at which it was read. A void claim changes nothing.
func (c *Claims) Apply(offset int64, claim Claim, readAt time.Duration) {
	last, ok := c.last[claim.Subject]
	if ok && last.holder != claim.Holder && last.offset >= claim.NextOffset {
		return
	}
	c.last[claim.Subject] = lastClaim{claim.Holder, claim.Nonce, offset, readAt}
}

// BlockedFor returns for how long another VM's claim still blocks a subject for this VM, 0 if
// none does.
func (c *Claims) BlockedFor(subject string, now time.Duration) time.Duration {
	h, ok := c.last[subject]
	if !ok || h.holder == c.self {
		return 0
	}
	return max(0, h.readAt+BlockDuration(c.lease)-now)
}

// Holder returns the VM with the last valid claim on a subject, and the claim's offset.
func (c *Claims) Holder(subject string) (vm string, offset int64, ok bool) {
	h, ok := c.last[subject]
	return h.holder, h.offset, ok
}

// Holds returns the offset of this VM's claim on a subject, given by the claim's nonce. It
// returns false if that isn't the last valid claim on the subject.
func (c *Claims) Holds(subject string, nonce uint64) (offset int64, ok bool) {
	h, ok := c.last[subject]
	return h.offset, ok && h.holder == c.self && h.nonce == nonce
}

// Age returns the time since the last valid claim on a subject was read, or is known to have
// been in the log.
func (c *Claims) Age(subject string, now time.Duration) time.Duration {
	return now - c.last[subject].readAt
}

// claimRetention is how long a claim is kept for queries by operators although it no longer
// blocks its subject. It is longer than the time between two calls of a duty in an incident.
const claimRetention = 10 * time.Minute

// DropOld drops the claims that no longer block their subjects and are past their retention.
func (c *Claims) DropOld(now time.Duration) {
	for subject, h := range c.last {
		if now > h.readAt+max(claimRetention, BlockDuration(c.lease)) {
			delete(c.last, subject)
		}
	}
}

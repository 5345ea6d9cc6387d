package batchrun

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// claimer appends claims on engines and on duties, the fleet-wide tasks that one VM does at
// a time. Claims that are requested during an append are batched into the next one: a
// hundred claims of one VM at once, as for new weights on a large service, take two calls.
// It is safe for concurrent use.
type claimer struct {
	loader *loader

	mu        sync.Mutex
	pending   []*pendingClaim // for the next append
	appending bool            // appendLoop is running
}

// pendingClaim is a requested claim and its outcome.
type pendingClaim struct {
	subject string        // engine address or name of a duty
	nonce   uint64        // identifies this claim in the log
	done    chan struct{} // closed when permit or err is set
	permit  loads.Permit
	err     error
}

func newClaimer(x *loader) *claimer { return &claimer{loader: x} }

// claim claims a subject. It doesn't return before the append even if the context ends: a
// claim that is in the log blocks the subject for other VMs, whether or not a caller still
// waits for it.
func (c *claimer) claim(ctx context.Context, subject string) (loads.Permit, error) {
	wanted := &pendingClaim{subject: subject, nonce: rand.Uint64(), done: make(chan struct{})}
	c.mu.Lock()
	c.pending = append(c.pending, wanted)
	first := !c.appending
	c.appending = true
	c.mu.Unlock()
	if first {
		go c.appendLoop(context.WithoutCancel(ctx)) // it serves other callers too
	}
	<-wanted.done
	return wanted.permit, wanted.err
}

// appendLoop appends pending claims until none are left.
func (c *claimer) appendLoop(ctx context.Context) {
	for {
		c.mu.Lock()
		claims := c.pending
		c.pending = nil
		c.appending = len(claims) > 0
		c.mu.Unlock()
		if len(claims) == 0 {
			return
		}
		c.appendBatch(ctx, claims)
		for _, x := range claims {
			close(x.done)
		}
	}
}

// appendBatch appends the claims on subjects that no other VM holds in one call, and then
// reads the log to find out which of them are valid.
func (c *claimer) appendBatch(ctx context.Context, claims []*pendingClaim) {
	began, seen := c.loader.options.Now(), c.loader.follower.NextOffset()
	claims = c.dropBlocked(claims) // judged by the log up to seen at least
	if len(claims) == 0 {
		return
	}
	err := c.appendRecords(ctx, seen, claims)
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		failAll(claims, err)
		return
	}
	if err := c.loader.follower.CatchUp(ctx); err != nil {
		failAll(claims, err)
		return
	}
	c.loader.mu.Lock()
	defer c.loader.mu.Unlock()
	for _, x := range claims {
		if offset, ok := c.loader.claims.Holds(x.subject, x.nonce); ok {
			x.permit = loads.Permit{Fence: fencingToken(offset), ExpiresAt: began + loads.ClaimTTL}
			continue
		}
		x.err = errors.Join(errClaimedElsewhere, err)
	}
}

// failAll sets the error of all claims.
func failAll(claims []*pendingClaim, err error) {
	for _, x := range claims {
		x.err = err
	}
}

// dropBlocked fails the claims on subjects that another VM holds, and returns the others.
func (c *claimer) dropBlocked(claims []*pendingClaim) []*pendingClaim {
	var out []*pendingClaim
	for _, x := range claims {
		if c.loader.claimBlockedFor(x.subject) > 0 {
			x.err = errClaimedElsewhere
			continue
		}
		out = append(out, x)
	}
	return out
}

// appendRecords appends one record for each claim. seen is the offset up to which the log
// had been read.
func (c *claimer) appendRecords(ctx context.Context, seen int64, claims []*pendingClaim) error {
	var records [][]byte
	for _, x := range claims {
		data, err := loads.Encode(loads.Record{Claim: &loads.Claim{Subject: x.subject, Holder: c.loader.options.VM, NextOffset: seen, Nonce: x.nonce}})
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	ctx, cancel := context.WithTimeout(ctx, store.FirstAppendTimeout)
	defer cancel()
	_, err := c.loader.options.Log.Append(ctx, claimsTopic, 0, records)
	return err
}

// fencingToken returns the fencing token of the claim at an offset. Offsets begin with 0,
// which engines take for a missing token.
func fencingToken(offset int64) int64 { return offset + 1 }

package batchrun

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// claimer appends claims on engines and on duties. Claims that are wanted while an append is
// under way go with the next one: a hundred claims of one VM at once, as for new weights on
// a large service, take two calls. It is safe for concurrent use.
type claimer struct {
	orders *orders

	mu      sync.Mutex
	waiting []*claim
	busy    bool // an append is under way
}

// claim is what is to be claimed, and the outcome.
type claim struct {
	subject string
	token   uint64
	done    chan struct{}
	permit  loads.Permit
	err     error
}

func newClaimer(x *orders) *claimer { return &claimer{orders: x} }

// claim claims a subject. It doesn't end before the append: a claim that is in the log
// bars the subject for other VMs, whoever waits for it here.
func (c *claimer) claim(ctx context.Context, subject string) (loads.Permit, error) {
	wanted := &claim{subject: subject, token: rand.Uint64(), done: make(chan struct{})}
	c.mu.Lock()
	c.waiting = append(c.waiting, wanted)
	first := !c.busy
	c.busy = true
	c.mu.Unlock()
	if first {
		go c.run(context.WithoutCancel(ctx)) // others' claims go with it
	}
	<-wanted.done
	return wanted.permit, wanted.err
}

// run appends until nobody waits.
func (c *claimer) run(ctx context.Context) {
	for {
		c.mu.Lock()
		claims := c.waiting
		c.waiting = nil
		c.busy = len(claims) > 0
		c.mu.Unlock()
		if len(claims) == 0 {
			return
		}
		c.append(ctx, claims)
		for _, x := range claims {
			close(x.done)
		}
	}
}

// append claims subjects together, those that no other VM holds, and reads back which of
// the claims are valid.
func (c *claimer) append(ctx context.Context, claims []*claim) {
	began, seen := c.orders.options.Now(), c.orders.follower.Next()
	claims = c.allowed(claims) // by what was read up to seen, or more
	if len(claims) == 0 {
		return
	}
	err := c.write(ctx, seen, claims)
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		fail(claims, err)
		return
	}
	if err := c.orders.follower.CatchUp(ctx); err != nil {
		fail(claims, err)
		return
	}
	c.orders.mu.Lock()
	defer c.orders.mu.Unlock()
	for _, x := range claims {
		if offset, ok := c.orders.claims.Holds(x.subject, x.token); ok {
			x.permit = loads.Permit{Fence: fenceOf(offset), Until: began + loads.ClaimLife}
			continue
		}
		x.err = errors.Join(errBarred, err)
	}
}

func fail(claims []*claim, err error) {
	for _, x := range claims {
		x.err = err
	}
}

// allowed drops the claims on subjects that another VM holds.
func (c *claimer) allowed(claims []*claim) []*claim {
	var out []*claim
	for _, x := range claims {
		if c.orders.barred(x.subject) > 0 {
			x.err = errBarred
			continue
		}
		out = append(out, x)
	}
	return out
}

func (c *claimer) write(ctx context.Context, seen int64, claims []*claim) error {
	var records [][]byte
	for _, x := range claims {
		data, err := loads.Encode(loads.Record{Claim: &loads.Claim{Subject: x.subject, Holder: c.orders.options.VM, Seen: seen, Token: x.token}})
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	ctx, cancel := context.WithTimeout(ctx, store.FirstAnswer)
	defer cancel()
	_, err := c.orders.options.Log.Append(ctx, claimsTopic, 0, records)
	return err
}

// fenceOf is the fencing number of the claim at an offset. Offsets begin with 0, which
// engines take for a missing number.
func fenceOf(offset int64) int64 { return offset + 1 }

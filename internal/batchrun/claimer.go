package batchrun

import (
	"context"
	"errors"
	"sync"

	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// claimTries bounds the appends of claims that met other daemons' records. After the
// loss of all VMs every owner claims at once; a try takes two answers of the store, some
// 10 ms.
const claimTries = 12

// claimer appends claims on engines and on duties. Claims that are wanted while an append is under way
// go with the next one: each append is made on the condition that the claims' log hasn't
// grown, so a hundred claims of one VM at once, as for new weights on a large service,
// would make each other's appends fail, with a read after each failure. It is safe for
// concurrent use.
type claimer struct {
	orders *orders

	mu      sync.Mutex
	waiting []*claim
	busy    bool // an append is under way
}

// claim is what is to be claimed, and the outcome.
type claim struct {
	subject string
	done    chan struct{}
	permit  loads.Permit
	err     error
}

func newClaimer(x *orders) *claimer { return &claimer{orders: x} }

// claim claims a subject. It doesn't end before the append: a claim that is in the log
// bars the subject for other VMs, whoever waits for it here.
func (c *claimer) claim(ctx context.Context, subject string) (loads.Permit, error) {
	wanted := &claim{subject: subject, done: make(chan struct{})}
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

// append claims subjects together, those that no other VM claimed.
func (c *claimer) append(ctx context.Context, claims []*claim) {
	for try := 0; len(claims) > 0; try++ {
		began, at := c.orders.options.Now(), c.orders.follower.Next()
		claims = c.allowed(claims) // what was claimed since makes the append fail
		if len(claims) == 0 {
			return
		}
		err := c.appendAt(ctx, at, claims)
		if err == nil || errors.Is(err, store.ErrUnknown) && c.orders.holds(ctx, claims, at) {
			for i, x := range claims {
				x.permit = loads.Permit{Fence: fenceOf(at + int64(i)), Until: began + loads.ClaimLife}
			}
			return
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && try < claimTries {
			err = c.orders.follower.CatchUp(ctx)
			if err == nil {
				continue
			}
		}
		for _, x := range claims {
			x.err = err
		}
		return
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

func (c *claimer) appendAt(ctx context.Context, at int64, claims []*claim) error {
	var records [][]byte
	for _, x := range claims {
		data, err := loads.Encode(loads.Record{Claim: &loads.Claim{Subject: x.subject, Holder: c.orders.options.VM}})
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	ctx, cancel := context.WithTimeout(ctx, store.FirstAnswer)
	defer cancel()
	_, err := c.orders.options.Log.AppendAt(ctx, claimsTopic, 0, at, records)
	return err
}

// fenceOf is the fencing number of the claim at an offset. Offsets begin with 0, which
// engines take for a missing number.
func fenceOf(offset int64) int64 { return offset + 1 }

// holds looks claims whose append had no answer up in the log.
func (x *orders) holds(ctx context.Context, claims []*claim, at int64) bool {
	if x.follower.CatchUp(ctx) != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, c := range claims {
		holder, offset, ok := x.claims.Holder(c.subject)
		if !ok || holder != x.options.VM || offset != at+int64(i) {
			return false
		}
	}
	return true
}

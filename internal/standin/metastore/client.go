package metastore

import (
	"context"
	"encoding/base64"
	"fmt"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// Faults are what a client suffers at the moment.
type Faults struct {
	Latency time.Duration // of each answer
	Refuse  bool          // every call is refused
	Cut     bool          // calls hang until their time is up; none arrives
	Reset   bool          // calls break off at once; none arrives
	// ReadDelay is waited before a read of a partition, beside the latency.
	ReadDelay func(topic string, part int) time.Duration
	// LoseAnswer, LateAnswer: called for each write. A lost write is done and not
	// answered; a late one is not answered and done after the duration.
	LoseAnswer func() bool
	Late       func(topic string) time.Duration // 0: not late
}

// Client is one VM's way to the store. It implements store.Log and
// store.Membership and is safe for concurrent use.
type Client struct {
	store   *Store
	timeout time.Duration // of a call, beyond the wait it asks for

	mu     sync.Mutex
	faults Faults
	calls  Calls
}

// Calls are what a client has asked of the store, refused calls included.
type Calls struct {
	Reads  int // of records and of the newest ones
	Writes int
	Joins  int // joins, leaves and lists of owners
}

// Calls returns the calls so far.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *Client) count(add Calls) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.Reads += add.Reads
	c.calls.Writes += add.Writes
	c.calls.Joins += add.Joins
}

// NewClient returns a client without faults.
func NewClient(s *Store, timeout time.Duration) *Client { return &Client{store: s, timeout: timeout} }

// SetFaults changes what the client suffers from now on.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *Client) now() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// enter suffers the faults of a call before it arrives.
func (c *Client) enter(ctx context.Context) (Faults, error) {
	f := c.now()
	if f.Cut {
		pause.For(ctx, c.timeout)
		return f, fmt.Errorf("%w: cut off", store.ErrUnknown)
	}
	pause.For(ctx, f.Latency)
	if f.Reset {
		return f, fmt.Errorf("%w: connection reset", store.ErrUnknown)
	}
	if f.Refuse {
		return f, fmt.Errorf("%w: refused", store.ErrNotDone)
	}
	if ctx.Err() != nil {
		return f, fmt.Errorf("%w: %w", store.ErrNotDone, ctx.Err())
	}
	return f, nil
}

func (c *Client) write(ctx context.Context, topic string, do func() (int64, error)) (int64, error) {
	c.count(Calls{Writes: 1})
	f, err := c.enter(ctx)
	if err != nil {
		return 0, err
	}
	if !c.store.meter.admitWrite(time.Now()) {
		return 0, fmt.Errorf("%w: too many writes", store.ErrNotDone)
	}
	if f.Late != nil {
		if d := f.Late(topic); d > 0 {
			time.AfterFunc(d, func() { _, _ = do() }) // nobody waits for its answer
			pause.For(ctx, c.timeout)
			return 0, fmt.Errorf("%w: late", store.ErrUnknown)
		}
	}
	offset, err := do()
	if f.LoseAnswer != nil && f.LoseAnswer() {
		pause.For(ctx, c.timeout)
		return 0, fmt.Errorf("%w: lost", store.ErrUnknown)
	}
	return offset, err
}

// Append adds records.
func (c *Client) Append(ctx context.Context, topic string, part int, records [][]byte) (int64, error) {
	return c.write(ctx, topic, func() (int64, error) { return c.store.append(topic, part, anyEnd, records) })
}

// AppendAt adds records if the partition ends at the offset.
func (c *Client) AppendAt(ctx context.Context, topic string, part int, at int64, records [][]byte) (int64, error) {
	return c.write(ctx, topic, func() (int64, error) { return c.store.append(topic, part, at, records) })
}

// Read returns records from an offset on.
func (c *Client) Read(ctx context.Context, topic string, part int, from store.ReadFrom) (store.Page, error) {
	c.count(Calls{Reads: 1})
	f, err := c.enter(ctx)
	if err != nil {
		return store.Page{}, err
	}
	if !c.store.meter.admitRead(time.Now()) {
		return store.Page{}, fmt.Errorf("%w: too many reads", store.ErrNotDone)
	}
	if f.ReadDelay != nil {
		pause.For(ctx, f.ReadDelay(topic, part))
	}
	limit := time.NewTimer(from.Wait)
	defer limit.Stop()
	for {
		page, changed, err := c.store.read(topic, part, from)
		if err == nil && len(page.Records) > 0 {
			return page, c.transfer(ctx, topic, bytesOf(page.Records))
		}
		if err != nil || from.Wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
		}
	}
}

// transfer takes as long as a read's bytes do behind those of other reads. A client
// gives up after its timeout; the bytes are on their way all the same.
func (c *Client) transfer(ctx context.Context, topic string, bytes int) error {
	takes := c.store.meter.transfer(topic, bytes, time.Now())
	pause.For(ctx, min(takes, c.timeout))
	if takes > c.timeout || ctx.Err() != nil {
		return fmt.Errorf("%w: read not through in time", store.ErrUnknown)
	}
	return nil
}

func bytesOf(records [][]byte) int {
	n := 0
	for _, r := range records {
		n += len(r)
	}
	return n
}

// Newest returns the newest records of keys behind a key.
func (c *Client) Newest(ctx context.Context, topic string, part int, after string) (store.NewestPage, error) {
	c.count(Calls{Reads: 1})
	if _, err := c.enter(ctx); err != nil {
		return store.NewestPage{}, err
	}
	if !c.store.meter.admitRead(time.Now()) {
		return store.NewestPage{}, fmt.Errorf("%w: too many reads", store.ErrNotDone)
	}
	page := c.store.newest(topic, part, after)
	bytes := 0
	for _, e := range page.Entries {
		bytes += len(e.Key) + base64.StdEncoding.EncodedLen(len(e.Value))
	}
	if err := c.transfer(ctx, topic, bytes); err != nil {
		return store.NewestPage{}, err
	}
	return page, nil
}

// Join enters or stays in a group.
func (c *Client) Join(ctx context.Context, group, member, _ string, ttl time.Duration, generation int64) (store.Assignment, error) {
	c.count(Calls{Joins: 1})
	if _, err := c.enter(ctx); err != nil {
		return store.Assignment{}, err
	}
	return c.store.join(group, member, ttl, generation, time.Now()), nil
}

// Owners returns the partitions that have an owner.
func (c *Client) Owners(ctx context.Context, group string) ([]store.Owned, error) {
	c.count(Calls{Joins: 1})
	if _, err := c.enter(ctx); err != nil {
		return nil, err
	}
	return c.store.owners(group), nil
}

// Leave gives up a member's partitions.
func (c *Client) Leave(ctx context.Context, group, member string) error {
	c.count(Calls{Joins: 1})
	if _, err := c.enter(ctx); err != nil {
		return err
	}
	c.store.leave(group, member)
	return nil
}

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

// Faults are the faults currently injected into a client's calls.
type Faults struct {
	Latency     time.Duration // added to each call
	Refuse      bool          // every call is refused
	Unreachable bool          // calls don't reach the store and time out
	Reset       bool          // calls don't reach the store and fail at once with an unknown outcome
	// ReadDelay returns the time that a read of a partition is delayed, in addition to
	// Latency.
	ReadDelay func(topic string, part int) time.Duration
	// LoseResponse is called for each write and reports whether its response is lost. The
	// write is executed; the call times out.
	LoseResponse func() bool
	// DelayWrite is called for each write and returns by how much it is delayed; 0: not at all.
	// A delayed write is executed at the end of the delay and never answered; the call
	// times out.
	DelayWrite func(topic string) time.Duration
}

// Client is one VM's connection to the store. It implements store.Log and
// store.Membership and is safe for concurrent use.
type Client struct {
	store   *Store
	timeout time.Duration // of a call, in addition to the wait that it asks for

	mu     sync.Mutex
	faults Faults
	calls  Calls
}

// Calls counts the calls of a client, including the refused ones.
type Calls struct {
	Reads      int // reads of records and of newest records
	Writes     int
	Membership int // joins, leaves and queries of owners
}

// Calls returns the number of calls so far.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *Client) addCalls(delta Calls) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.Reads += delta.Reads
	c.calls.Writes += delta.Writes
	c.calls.Membership += delta.Membership
}

// NewClient returns a client without faults.
func NewClient(s *Store, timeout time.Duration) *Client { return &Client{store: s, timeout: timeout} }

// SetFaults replaces the faults of future calls.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *Client) currentFaults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// applyCallFaults applies the faults that take effect before a call reaches the store. It
// returns the client's current faults, and an error if the call doesn't reach the store.
func (c *Client) applyCallFaults(ctx context.Context) (Faults, error) {
	f := c.currentFaults()
	if f.Unreachable {
		pause.For(ctx, c.timeout)
		return f, fmt.Errorf("%w: injected timeout", store.ErrUnknown)
	}
	pause.For(ctx, f.Latency)
	if f.Reset {
		return f, fmt.Errorf("%w: injected connection reset", store.ErrUnknown)
	}
	if f.Refuse {
		return f, fmt.Errorf("%w: injected refusal", store.ErrNotDone)
	}
	if ctx.Err() != nil {
		return f, fmt.Errorf("%w: %w", store.ErrNotDone, ctx.Err())
	}
	return f, nil
}

// write executes a write under the client's faults.
func (c *Client) write(ctx context.Context, topic string, execute func() (int64, error)) (int64, error) {
	c.addCalls(Calls{Writes: 1})
	f, err := c.applyCallFaults(ctx)
	if err != nil {
		return 0, err
	}
	if !c.store.limiter.admitWrite(time.Now()) {
		return 0, fmt.Errorf("%w: write rate limit exceeded", store.ErrNotDone)
	}
	if f.DelayWrite != nil {
		if delay := f.DelayWrite(topic); delay > 0 {
			time.AfterFunc(delay, func() { _, _ = execute() }) // nobody waits for the result
			pause.For(ctx, c.timeout)
			return 0, fmt.Errorf("%w: injected delay of the write", store.ErrUnknown)
		}
	}
	offset, err := execute()
	if f.LoseResponse != nil && f.LoseResponse() {
		pause.For(ctx, c.timeout)
		return 0, fmt.Errorf("%w: injected loss of the response", store.ErrUnknown)
	}
	return offset, err
}

// Append implements store.Log.
func (c *Client) Append(ctx context.Context, topic string, part int, records [][]byte) (int64, error) {
	return c.write(ctx, topic, func() (int64, error) { return c.store.append(topic, part, unconditional, records) })
}

// AppendAt implements store.Log.
func (c *Client) AppendAt(ctx context.Context, topic string, part int, at int64, records [][]byte) (int64, error) {
	return c.write(ctx, topic, func() (int64, error) { return c.store.append(topic, part, at, records) })
}

// Read implements store.Log.
func (c *Client) Read(ctx context.Context, topic string, part int, from store.ReadOptions) (store.Page, error) {
	c.addCalls(Calls{Reads: 1})
	f, err := c.applyCallFaults(ctx)
	if err != nil {
		return store.Page{}, err
	}
	if !c.store.limiter.admitRead(time.Now()) {
		return store.Page{}, fmt.Errorf("%w: read rate limit exceeded", store.ErrNotDone)
	}
	if f.ReadDelay != nil {
		pause.For(ctx, f.ReadDelay(topic, part))
	}
	limit := time.NewTimer(from.Wait)
	defer limit.Stop()
	for {
		page, appended, err := c.store.read(topic, part, from)
		if err == nil && len(page.Records) > 0 {
			return page, c.waitForTransfer(ctx, topic, page.Bytes())
		}
		if err != nil || from.Wait == 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
		}
	}
}

// waitForTransfer waits while a read's bytes are transferred, after those of earlier
// reads. A client gives up after its timeout; the bytes are transferred all the same.
func (c *Client) waitForTransfer(ctx context.Context, topic string, bytes int) error {
	duration := c.store.limiter.bookTransfer(topic, bytes, time.Now())
	pause.For(ctx, min(duration, c.timeout))
	if duration > c.timeout || ctx.Err() != nil {
		return fmt.Errorf("%w: read timed out during the transfer", store.ErrUnknown)
	}
	return nil
}

// Newest implements store.Log.
func (c *Client) Newest(ctx context.Context, topic string, part int, after string) (store.NewestPage, error) {
	c.addCalls(Calls{Reads: 1})
	if _, err := c.applyCallFaults(ctx); err != nil {
		return store.NewestPage{}, err
	}
	if !c.store.limiter.admitRead(time.Now()) {
		return store.NewestPage{}, fmt.Errorf("%w: read rate limit exceeded", store.ErrNotDone)
	}
	page := c.store.newest(topic, part, after)
	bytes := 0
	for _, e := range page.Entries {
		bytes += len(e.Key) + base64.StdEncoding.EncodedLen(len(e.Value))
	}
	if err := c.waitForTransfer(ctx, topic, bytes); err != nil {
		return store.NewestPage{}, err
	}
	return page, nil
}

// Join implements store.Membership.
func (c *Client) Join(ctx context.Context, group, member, _ string, ttl time.Duration, generation int64) (store.Assignment, error) {
	c.addCalls(Calls{Membership: 1})
	if _, err := c.applyCallFaults(ctx); err != nil {
		return store.Assignment{}, err
	}
	return c.store.join(group, member, ttl, generation, time.Now()), nil
}

// Owners implements store.Membership.
func (c *Client) Owners(ctx context.Context, group string) ([]store.PartitionOwner, error) {
	c.addCalls(Calls{Membership: 1})
	if _, err := c.applyCallFaults(ctx); err != nil {
		return nil, err
	}
	return c.store.owners(group), nil
}

// Leave implements store.Membership.
func (c *Client) Leave(ctx context.Context, group, member string) error {
	c.addCalls(Calls{Membership: 1})
	if _, err := c.applyCallFaults(ctx); err != nil {
		return err
	}
	c.store.leave(group, member)
	return nil
}

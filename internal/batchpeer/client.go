// Package batchpeer carries calls on batches between daemons over drpc: Client is
// batchrun.Peers, Serve answers by what holds the batches here.
package batchpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
)

const (
	// dialTimeout: daemons are some ms apart; one that was cut off doesn't answer.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout is how long a connection is kept without a call. One that fell silent
	// shows only by a call's timeout, so few are kept, and not for long.
	idleTimeout = 4 * time.Second
	// keptPerDaemon bounds the idle connections to one daemon: a call has a connection
	// to itself, and few are under way at a time.
	keptPerDaemon = 4
	// maxMessageBytes bounds one message: a page of results is below 1 MB of text, a body
	// is what a trainer submitted in one call.
	maxMessageBytes = 16 << 20
)

var (
	dials     = metrics.Counter("batch_peer_dials")
	callsMade = metrics.Counter("batch_peer_calls")
)

// target is an address and the number of times that its connections were given up.
type target struct {
	address string
	given   int
}

// Client passes calls to other daemons. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[target, *drpcconn.Conn]

	mu    sync.Mutex
	given map[string]int // by address
}

var _ batchrun.Peers = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		pool:  drpcpool.New[target, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: keptPerDaemon}),
		given: map[string]int{},
	}
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) targetOf(address string) target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return target{address, c.given[address]}
}

// giveUp leaves the idle connections of a target unused. When one of them fell silent, as
// behind a network that lost its state, so did the others: each would cost a timeout.
func (c *Client) giveUp(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.given[t.address] == t.given {
		c.given[t.address]++
	}
}

func dial(ctx context.Context, t target) (*drpcconn.Conn, error) {
	dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// call makes one call; its error is ErrUnreachable.
func (c *Client) call(ctx context.Context, address string, do func(peerpb.DRPCBatchesClient) error) error {
	callsMade.Add(1)
	t := c.targetOf(address)
	conn := c.pool.Get(ctx, t, dial)
	err := do(peerpb.NewDRPCBatchesClient(conn))
	_ = conn.Close() // of this use; the pool keeps the connection
	if err == nil {
		return nil
	}
	c.giveUp(t)
	return fmt.Errorf("%w: %s: %w", batchrun.ErrUnreachable, address, err)
}

// Locate asks a daemon whether it holds a batch.
func (c *Client) Locate(ctx context.Context, address, id string, confirm bool) (locate.Answer, error) {
	var reply *peerpb.LocateReply
	err := c.call(ctx, address, func(client peerpb.DRPCBatchesClient) (err error) {
		reply, err = client.Locate(ctx, &peerpb.LocateRequest{Batch: id, Confirm: confirm})
		return err
	})
	if err != nil {
		return locate.Answer{}, err
	}
	answer := locate.Answer{Found: reply.GetFound()}
	for _, part := range reply.GetConfirmed() {
		answer.Confirmed = append(answer.Confirmed, int(part))
	}
	return answer, nil
}

// List reads what a daemon has listed of a batch.
func (c *Client) List(ctx context.Context, address, id string, after int, wait time.Duration) (batchrun.Listing, error) {
	var reply *peerpb.ListReply
	err := c.call(ctx, address, func(client peerpb.DRPCBatchesClient) (err error) {
		reply, err = client.List(ctx, &peerpb.ListRequest{Batch: id, After: int64(after), WaitMs: wait.Milliseconds()})
		return err
	})
	if err != nil {
		return batchrun.Listing{}, err
	}
	if err := errorOf(reply.GetOutcome()); err != nil {
		return batchrun.Listing{}, err
	}
	return decodeListing(reply), nil
}

// End ends a batch at a daemon.
func (c *Client) End(ctx context.Context, address, id string) error {
	var reply *peerpb.EndReply
	err := c.call(ctx, address, func(client peerpb.DRPCBatchesClient) (err error) {
		reply, err = client.End(ctx, &peerpb.EndRequest{Batch: id})
		return err
	})
	return errors.Join(err, errorOf(reply.GetOutcome()))
}

// Body asks a daemon where a sample's body lies.
func (c *Client) Body(ctx context.Context, address, id, item string) (batchrun.BodyAt, error) {
	var reply *peerpb.BodyReply
	err := c.call(ctx, address, func(client peerpb.DRPCBatchesClient) (err error) {
		reply, err = client.Body(ctx, &peerpb.BodyRequest{Batch: id, Sample: item})
		return err
	})
	at := batchrun.BodyAt{Part: int(reply.GetPart()), At: reply.GetAt(), Index: int(reply.GetIndex()), Blob: reply.GetBlob()}
	return at, errors.Join(err, errorOf(reply.GetOutcome()))
}

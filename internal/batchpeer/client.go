// Package batchpeer carries calls on batches between daemons over drpc. Client implements
// batchrun.Peers; Serve answers calls for the batches that are held locally.
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
	// dialTimeout bounds the making of a connection. Daemons are a few ms apart; one that is
	// cut off does not respond at all.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. A connection whose other end is
	// gone is noticed only when a call on it times out, so few are kept, and not for long.
	idleTimeout = 4 * time.Second
	// maxIdlePerDaemon bounds the idle connections to one daemon. A call has a connection to
	// itself, and few calls run at a time.
	maxIdlePerDaemon = 4
	// maxMessageBytes bounds one message. A page of results has less than 1 MB of text; a
	// body is what a trainer submitted in one call.
	maxMessageBytes = 16 << 20
)

var (
	dials     = metrics.Counter("batch_peer_dials")
	callsMade = metrics.Counter("batch_peer_calls")
)

// poolKey is the key of the connections to one daemon in the pool.
type poolKey struct {
	address string
	// generation counts how often all connections to the address were abandoned.
	generation int
}

// Client makes calls to other daemons. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[poolKey, *drpcconn.Conn]

	mu          sync.Mutex
	generations map[string]int // current generation by address
}

var _ batchrun.Peers = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		pool:        drpcpool.New[poolKey, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerDaemon}),
		generations: map[string]int{},
	}
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) keyOf(address string) poolKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	return poolKey{address, c.generations[address]}
}

// abandonIdle makes sure that the idle connections of a key are not used again; they expire
// in the pool. If one of them went dead without a reset, as behind a network device that lost
// its state, so did the others, and each would cost a call its timeout.
func (c *Client) abandonIdle(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generations[key.address] == key.generation {
		c.generations[key.address]++
	}
}

func dial(ctx context.Context, key poolKey) (*drpcconn.Conn, error) {
	dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// call makes one call. Its error wraps batchrun.ErrUnreachable.
func (c *Client) call(ctx context.Context, address string, do func(peerpb.DRPCBatchesClient) error) error {
	callsMade.Add(1)
	key := c.keyOf(address)
	conn := c.pool.Get(ctx, key, dial)
	err := do(peerpb.NewDRPCBatchesClient(conn))
	_ = conn.Close() // ends this use; the pool keeps the connection
	if err == nil {
		return nil
	}
	c.abandonIdle(key)
	return fmt.Errorf("%w: %s: %w", batchrun.ErrUnreachable, address, err)
}

// Locate asks the daemon at an address whether it holds the batch with this ID. With confirm,
// that daemon first catches up with the log in the partitions where it did not find it.
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
	for _, partition := range reply.GetConfirmed() {
		answer.Confirmed = append(answer.Confirmed, int(partition))
	}
	return answer, nil
}

// List reads the results of a batch after the first "after" ones from the daemon that holds
// it. If there are none yet, that daemon waits for the first, up to wait.
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

// End ends a batch at the daemon that holds it.
func (c *Client) End(ctx context.Context, address, id string) error {
	var reply *peerpb.EndReply
	err := c.call(ctx, address, func(client peerpb.DRPCBatchesClient) (err error) {
		reply, err = client.End(ctx, &peerpb.EndRequest{Batch: id})
		return err
	})
	return errors.Join(err, errorOf(reply.GetOutcome()))
}

// Body asks the daemon that holds a batch where the body of a sample is stored; item is the
// sample's ID.
func (c *Client) Body(ctx context.Context, address, id, item string) (batchrun.BodyLocation, error) {
	var reply *peerpb.BodyReply
	err := c.call(ctx, address, func(client peerpb.DRPCBatchesClient) (err error) {
		reply, err = client.Body(ctx, &peerpb.BodyRequest{Batch: id, Sample: item})
		return err
	})
	at := batchrun.BodyLocation{Partition: int(reply.GetPart()), Offset: reply.GetAt(), Index: int(reply.GetIndex()), Blob: reply.GetBlob()}
	return at, errors.Join(err, errorOf(reply.GetOutcome()))
}

// Package sharespeer carries reports of demand between daemons over drpc. Client implements
// shares.Peers; Register adds the service that answers them to a server.
package sharespeer

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

const (
	// idleTimeout is how long an idle connection is kept. The interval between reports grows
	// with the fleet, so that a coordinator has at most some 250 idle connections, however many
	// daemons report. It is below the time for which a coordinator is not asked after a failed
	// call, so that none of its connections from before is used again.
	idleTimeout = 1 * time.Second
	// maxIdlePerDaemon bounds the idle connections to one daemon, which may coordinate several
	// services.
	maxIdlePerDaemon = 2
	// maxMessageBytes bounds one message; 1,024 entries with the longest names have 280 KB.
	maxMessageBytes = 512 << 10
)

var dials = metrics.Counter("shares_peer_dials")

// Client makes calls to other daemons. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

var _ shares.Peers = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerDaemon})}
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dials.Add(1)
	var dialer net.Dialer // the context has the call's timeout
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}

func newConn(conn net.Conn) *drpcconn.Conn {
	options := drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: options})
}

// Exchange sends a report to the daemon at an address and returns the fleet's demand.
func (c *Client) Exchange(ctx context.Context, address string, r shares.Report) (shares.Table, error) {
	conn := c.pool.Get(ctx, address, dial)
	defer func() { _ = conn.Close() }() // ends this use; the pool keeps the connection
	return exchange(ctx, conn, r)
}

func exchange(ctx context.Context, conn drpc.Conn, r shares.Report) (shares.Table, error) {
	reply, err := peerpb.NewDRPCSharesClient(conn).Exchange(ctx, encodeReport(r))
	if err != nil {
		return shares.Table{}, fmt.Errorf("sharespeer: exchange: %w", err)
	}
	return decodeTable(reply), nil
}

// Handler handles reports as a coordinator. shares.Service implements it.
type Handler interface {
	Exchange(r shares.Report) (shares.Table, error)
}

// Register returns a function that adds the service to a server, see batchpeer.Serve.
func Register(h Handler) func(drpc.Mux) error {
	return func(mux drpc.Mux) error { return peerpb.DRPCRegisterShares(mux, &server{h}) }
}

// server implements the drpc service by a Handler.
type server struct{ handler Handler }

// Exchange implements peerpb.DRPCSharesServer.
func (s *server) Exchange(_ context.Context, in *peerpb.DemandReport) (*peerpb.DemandTable, error) {
	t, err := s.handler.Exchange(decodeReport(in))
	if err != nil {
		return nil, err
	}
	return encodeTable(t), nil
}

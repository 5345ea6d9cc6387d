package peer

import (
	"net"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

var (
	bytesSent     = metrics.Counter("peer_bytes_sent")
	bytesReceived = metrics.Counter("peer_bytes_received")
)

// watchedConn ends a connection that makes no progress. A peer whose VM froze
// or whose network parted sends no reset: without the deadline a read of it
// would wait for ever, and a write until the kernel gives up minutes later.
// The deadline holds because whoever is waited for sends something each
// heartbeat: digests on an exchange, empty parts while an answer is being made.
type watchedConn struct {
	net.Conn
	silence time.Duration
	names   []string // of the peer's certificate; empty in the clear

	mu             sync.Mutex // orders silenceAllowed and the read deadline
	silenceAllowed bool
}

// allowSilence leaves reads without a deadline, also one under way. A server's
// end of a forwarded call hears nothing while it makes the answer; its writes
// find a dead peer.
func (c *watchedConn) allowSilence(allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenceAllowed = allowed
	_ = c.SetReadDeadline(c.readDeadline()) // fails only on a closed connection
}

func (c *watchedConn) readDeadline() time.Time {
	if c.silenceAllowed {
		return time.Time{}
	}
	return time.Now().Add(c.silence)
}

func (c *watchedConn) renewRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.SetReadDeadline(c.readDeadline())
}

func (c *watchedConn) Read(p []byte) (int, error) {
	if err := c.renewRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	bytesReceived.Add(int64(n))
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	bytesSent.Add(int64(n))
	return n, err
}

// namesOf returns the names that the other end of a connection has proved.
func namesOf(transport drpc.Transport) []string {
	if watched, ok := transport.(*watchedConn); ok {
		return watched.names
	}
	return nil
}

package exchange

import (
	"errors"
	"net"
	"sync"
	"time"
)

var errWritesDisabled = errors.New("connection abandoned before anything was written")

// trackedConn counts the calls of Write and records whether reading or writing failed. It
// can disable writes, and closes itself after being idle for too long.
type trackedConn struct {
	net.Conn

	mu             sync.Mutex
	writeCalls     int64       // calls of Write that were started
	writesDisabled bool        // Write fails with errWritesDisabled
	ioFailed       bool        // a Read or Write returned an error
	idleTimer      *time.Timer // closes the connection, nil: in use
	uses           int64       // requests that got the connection
}

// startIdleTimer closes the connection after limit unless beginUse is called before. use is the
// one that ended: if a later one has begun already, the connection isn't idle.
func (c *trackedConn) startIdleTimer(limit time.Duration, use int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		c.idleTimer = time.AfterFunc(limit, c.closeIfIdle)
	}
}

// closeIfIdle closes the connection unless it is in use again. It disables writes first, so
// that a request that net/http assigns to the connection at the same time is certainly not
// sent.
func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	if c.idleTimer == nil {
		c.mu.Unlock()
		return // in use again
	}
	c.writesDisabled = true
	c.mu.Unlock()
	_ = c.Conn.Close() // no request is using the connection, so the error doesn't matter
}

// abandon closes the connection. It disables writes first, so that a request that net/http assigns
// to it before it notices the close is certainly not sent.
func (c *trackedConn) abandon() {
	c.mu.Lock()
	c.writesDisabled = true
	c.mu.Unlock()
	_ = c.Close() // nothing more is expected on it
}

// beginUse marks the connection as in use, unless the timer has already closed it, and returns the
// number of the use.
func (c *trackedConn) beginUse() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	if c.idleTimer != nil && !c.writesDisabled {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
	return c.uses
}

// Write counts the call, then writes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesDisabled {
		c.mu.Unlock()
		return 0, errWritesDisabled
	}
	c.writeCalls++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordError(err)
	return n, err
}

// Read reads and records an error.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordError(err)
	return n, err
}

func (c *trackedConn) recordError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	c.ioFailed = true
	c.mu.Unlock()
}

func (c *trackedConn) hasFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ioFailed
}

func (c *trackedConn) writeCallCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCalls
}

// disableWritesIfUnwritten disables writes if no Write was started since the count
// initialWriteCalls was taken, and reports whether it did. Otherwise net/http's write loop,
// which may still be running, could write after the caller was told that nothing was sent.
func (c *trackedConn) disableWritesIfUnwritten(initialWriteCalls int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeCalls != initialWriteCalls {
		return false
	}
	c.writesDisabled = true
	return true
}

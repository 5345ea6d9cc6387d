package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// WrapListener returns a listener whose connections are subject to the faults Freeze
// and Silence.
func (in *Injector) WrapListener(l net.Listener) net.Listener {
	return &faultyListener{Listener: l, injector: in}
}

type faultyListener struct {
	net.Listener
	injector *Injector
}

func (l *faultyListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: raw, injector: l.injector, closed: make(chan struct{})}
	l.injector.mu.Lock()
	l.injector.openConns[c] = struct{}{}
	l.injector.mu.Unlock()
	return c, nil
}

// faultyConn is a connection that can be frozen together with its server, or silenced
// permanently.
type faultyConn struct {
	net.Conn
	injector  *Injector
	silenced  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// silenceConns silences all open connections except one, which may be nil.
func (in *Injector) silenceConns(exempt *faultyConn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for c := range in.openConns {
		if c != exempt {
			c.silenced.Store(true)
		}
	}
}

// Read blocks on a silenced connection until Close is called. Whatever the peer sends
// is discarded, including its end of file, as if it were lost in the network.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.injector.waitWhileFrozen(c.closed)
	if c.silenced.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write on a silenced connection reports success and sends nothing.
func (c *faultyConn) Write(p []byte) (int, error) {
	c.injector.waitWhileFrozen(c.closed)
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.injector.mu.Lock()
		delete(c.injector.openConns, c)
		c.injector.mu.Unlock()
	})
	if c.silenced.Load() {
		c.suppressFIN()
	}
	return c.Conn.Close()
}

// suppressFIN makes Close reset a silenced connection instead of sending a FIN, so that
// the peer receives nothing from the kernel except this late reset.
func (c *faultyConn) suppressFIN() { c.resetOnClose() }

// resetOnClose makes the next Close reset the connection.
func (c *faultyConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// CloseConns closes all open connections at once, as the exit of a process does.
func (in *Injector) CloseConns() {
	in.mu.Lock()
	conns := make([]*faultyConn, 0, len(in.openConns))
	for c := range in.openConns {
		conns = append(conns, c)
	}
	in.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

type connKey struct{}

// ConnContext is meant for http.Server.ConnContext. It stores the connection in the
// context of its requests, where handlers find it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection stored by ConnContext, or nil.
func connOf(ctx context.Context) *faultyConn {
	c, _ := ctx.Value(connKey{}).(*faultyConn)
	return c
}

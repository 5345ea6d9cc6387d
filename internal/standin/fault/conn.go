package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a listener so that Freeze and Silence reach its connections.
func (in *Injector) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, in: in}
}

type listener struct {
	net.Listener
	in *Injector
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, in: l.in, closed: make(chan struct{})}
	l.in.mu.Lock()
	l.in.conns[c] = struct{}{}
	l.in.mu.Unlock()
	return c, nil
}

// conn is a connection that can be frozen with its process or silenced for good.
type conn struct {
	net.Conn
	in     *Injector
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (in *Injector) silence(spare *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for c := range in.conns {
		if c != spare {
			c.silent.Store(true)
		}
	}
}

// Read never returns on a silent connection until it is closed here: what the
// other end sent, its end of file included, got lost on the way.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.waitThawed(c.closed)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write on a silent connection says that all went well and sends nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.in.waitThawed(c.closed)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.in.mu.Lock()
		delete(c.in.conns, c)
		c.in.mu.Unlock()
	})
	if c.silent.Load() {
		c.forget()
	}
	return c.Conn.Close()
}

// forget keeps the kernel from telling the other end of a silent connection
// anything but a late reset.
func (c *conn) forget() { c.setReset() }

// setReset makes the coming Close reset the connection.
func (c *conn) setReset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// CloseAll closes every connection at once, as the end of a process does.
func (in *Injector) CloseAll() {
	in.mu.Lock()
	all := make([]*conn, 0, len(in.conns))
	for c := range in.conns {
		all = append(all, c)
	}
	in.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

type connKey struct{}

// ConnContext is for http.Server; it lets a handler find its connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

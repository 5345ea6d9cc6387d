package capacity

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Meter counts what the daemon exchanges with one kind of partner. "In" and
// "out" are as the daemon sees them.
type Meter struct {
	in, out   atomic.Int64 // bytes of TCP payload
	segments  atomic.Int64 // reads and writes that moved bytes, both ways
	exchanges atomic.Int64 // requests, or none
}

// Traffic is a meter's reading.
type Traffic struct {
	In        int64 `json:"in"`
	Out       int64 `json:"out"`
	Segments  int64 `json:"segments"`
	Exchanges int64 `json:"exchanges"`
}

func (m *Meter) read() Traffic {
	return Traffic{In: m.in.Load(), Out: m.out.Load(), Segments: m.segments.Load(), Exchanges: m.exchanges.Load()}
}

func (t Traffic) minus(before Traffic) Traffic {
	return Traffic{
		In: t.In - before.In, Out: t.Out - before.Out,
		Segments: t.Segments - before.Segments, Exchanges: t.Exchanges - before.Exchanges,
	}
}

// Meters holds the meters by name. Safe for concurrent use.
type Meters struct {
	mu   sync.Mutex
	list map[string]*Meter
}

// The names of meters.
const (
	meterLog       = "log"
	meterWeights   = "weights"
	meterVMs       = "vms"
	meterPeers     = "peers"
	meterLoad      = "load"      // load reports
	meterUpstreams = "upstreams" // work: the data path
	meterChunks    = "chunks"    // exchanges only: chunks that engines sent
	meterOwn       = "own"       // this process's own appends
)

func newMeters() *Meters { return &Meters{list: map[string]*Meter{}} }

func (m *Meters) of(name string) *Meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list[name] == nil {
		m.list[name] = &Meter{}
	}
	return m.list[name]
}

func (m *Meters) read() map[string]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Traffic{}
	for name, meter := range m.list {
		out[name] = meter.read()
	}
	return out
}

// meteredConn counts one connection, from the fake's end: what the fake reads
// left the daemon. What is read is booked when the request's kind is known.
type meteredConn struct {
	net.Conn
	meter   atomic.Pointer[Meter]
	unread  atomic.Int64 // bytes not booked yet
	packets atomic.Int64
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unread.Add(int64(n))
		c.packets.Add(1)
	}
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	m := c.meter.Load()
	m.in.Add(int64(n))
	m.segments.Add(1)
	return n, err
}

// book assigns what was read to a meter, which also takes what is written next.
func (c *meteredConn) book(m *Meter) {
	c.meter.Store(m)
	m.out.Add(c.unread.Swap(0))
	m.segments.Add(c.packets.Swap(0))
	m.exchanges.Add(1)
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &meteredConn{Conn: conn}
	c.meter.Store(l.meter)
	return c, nil
}

type connKey struct{}

// serveMetered serves HTTP with the meter that pick chooses for each request.
func serveMetered(l net.Listener, h http.Handler, pick func(*http.Request) *Meter) *http.Server {
	booked := func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connKey{}).(*meteredConn).book(pick(r))
		h.ServeHTTP(w, r)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(booked),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() { _ = server.Serve(meteredListener{l, &Meter{}}) }() // ends with Close
	return server
}

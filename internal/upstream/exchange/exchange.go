// Package exchange sends single HTTP/1.1 requests and reads their responses. It adds
// three guarantees to net/http: a request is written at most once, a failure states
// whether any byte of the request may have been sent, and an exchange without progress
// on its connection fails after a configured time.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Kind is the class of a failed exchange.
type Kind int

// The kinds of failure.
const (
	Dial      Kind = iota // no connection could be established
	Reset                 // the connection broke before or during the response
	Truncated             // the body of the response ended before it was complete
	Silent                // no progress within the timeout
	Malformed             // the response isn't valid HTTP or exceeds a size limit
	Cancelled             // the caller's context ended
	NoRoom                // the memory budget has no room for the request or the response
)

// String returns the name of the kind for log lines.
func (k Kind) String() string {
	return [...]string{"dial", "reset", "truncated", "silent", "malformed", "cancelled", "no room"}[k]
}

// Failure is the error of sending a request and of reading its response.
type Failure struct {
	Kind Kind
	// Sent reports whether a byte of the request may have left this process. False is
	// certain: nothing was sent.
	Sent bool
	// Reused reports whether the connection had served a request before. A failure of
	// such a connection says little about the server, which may have closed the idle
	// connection while the request was in transit.
	Reused bool
	// ResponseBegan reports whether a byte of the response was received.
	ResponseBegan bool
	Err           error // cause
}

// StaleConn reports whether a connection that had been idle broke. The server may have
// closed it in the meantime, which isn't a sign of a problem with the server.
func (f *Failure) StaleConn() bool { return f.Kind == Reset && f.Reused && !f.ResponseBegan }

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// ErrTooLarge is the cause of the Malformed failure for a response body above its size limit.
var ErrTooLarge = errors.New("response body exceeds the size limit")

var (
	errNoProgress = errors.New("no progress within the timeout")
	errUnframed   = errors.New("response has neither Content-Length nor chunked encoding")
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the settings of a Sender. DialTimeout and IdleTimeout must be positive.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open. If it is shorter than
	// the timeouts of requests, a request that is repeated after such a timeout can't get
	// another connection that stopped working at the same time as the first.
	IdleTimeout time.Duration
	// MaxIdleTimeout is the maximum idle time for servers that advertise an idle timeout in
	// a Keep-Alive header; a shorter advertised timeout takes precedence. If it is 0,
	// the header is ignored and IdleTimeout applies.
	MaxIdleTimeout time.Duration
	Dial           DialFunc // nil: TCP
}

// SendOptions holds the options of one request.
type SendOptions struct {
	// NewConn opens a new connection for this request and closes it afterwards.
	NewConn bool
	// HeaderTimeout limits the wait for the response header, 0: only the context limits it.
	HeaderTimeout time.Duration
	// ReusedHeaderTimeout is the limit on a reused connection, which may be dead without a sign
	// of it, 0: the same as on a new one.
	ReusedHeaderTimeout time.Duration
	// ReadTimeout limits the wait for each read of the response body, 0: only the context
	// limits it.
	ReadTimeout time.Duration
}

// Sender sends requests over connections of its own. It is safe for concurrent use.
type Sender struct {
	pooledTransport   *http.Transport
	unpooledTransport *http.Transport // opens a new connection for each request
	idleLimits        *idleLimits
	createdAt         time.Time // origin of the clock of idleLimits
}

// elapsed returns the time since the Sender was created.
func (s *Sender) elapsed() time.Duration { return time.Since(s.createdAt) }

const (
	maxHeaderBytes = 64 << 10
	// readBufferBytes is allocated for each connection, including idle ones. A rollout
	// step has a thousand connections open; with 16 KiB here and in the reader of each
	// stream, these buffers took 30 MB of the heap.
	readBufferBytes     = 4 << 10
	maxIdleConnsPerHost = 64
	keepAliveProbeCount = 3
)

// NewSender returns a Sender with its own connection pool.
func NewSender(o Options) *Sender {
	pooled := newTransport(o)
	unpooled := newTransport(o)
	unpooled.DisableKeepAlives = true
	return &Sender{pooledTransport: pooled, unpooledTransport: unpooled, idleLimits: newIdleLimits(o), createdAt: time.Now()}
}

// newTransport returns a transport without some features of http.DefaultTransport: a proxy
// from the environment, HTTP/2 (several requests share a connection) and compression (it
// changes the bytes of the body).
func newTransport(o Options) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            newTrackedDial(o),
		DisableCompression:     true,
		Protocols:              &protocols,
		IdleConnTimeout:        max(o.IdleTimeout, o.MaxIdleTimeout),
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

// newTrackedDial returns a dial function that wraps each connection in a trackedConn.
func newTrackedDial(o Options) DialFunc {
	dial := o.Dial
	if dial == nil {
		dial = newTCPDial()
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, &dialError{err}
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// newTCPDial returns a dial function whose connections send TCP keep-alive probes, so that
// an idle connection whose peer is gone is closed before its next use.
func newTCPDial() DialFunc {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     time.Second,
		Interval: time.Second,
		Count:    keepAliveProbeCount,
	}}
	return d.DialContext
}

type dialError struct{ err error }

func (e *dialError) Error() string { return fmt.Sprintf("dial: %v", e.err) }
func (e *dialError) Unwrap() error { return e.err }

// CloseIdle closes the connections that no request uses at present.
func (s *Sender) CloseIdle() { s.pooledTransport.CloseIdleConnections() }

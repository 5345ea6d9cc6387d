package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Request is an HTTP request. Header is handed to net/http without a copy.
type Request struct {
	Method string
	URL    string
	Host   string // value of the Host header, "": the host of URL
	Header http.Header
	Body   []byte
}

// Send writes the request at most once and waits for the response header. The error is a
// *Failure. The caller must close the response.
func (s *Sender) Send(ctx context.Context, r Request, opts SendOptions) (*Response, error) {
	resp, err := s.send(ctx, r, opts)
	if closedBeforeSend(err) {
		resp, err = s.send(ctx, r, opts)
	}
	if closedBeforeSend(err) {
		opts.NewConn = true
		return s.send(ctx, r, opts)
	}
	return resp, err
}

// closedBeforeSend reports whether the idle connection was closed just as it was chosen. Nothing
// was sent, so the request may be sent over another connection.
func closedBeforeSend(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Reused && !f.Sent && f.Kind != Cancelled && f.Kind != Silent
}

func (s *Sender) send(ctx context.Context, r Request, opts SendOptions) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatchdog(func() { cancel(errNoProgress) })
	x := &attempt{sender: s, watchdog: watch, options: opts}
	req, err := r.httpRequest(httptrace.WithClientTrace(ctx, x.clientTrace()))
	if err != nil {
		cancel(nil)
		return nil, &Failure{Kind: Malformed, Err: err}
	}
	x.address = req.URL.Host
	// RoundTrip, since http.Client.Do follows redirects and so sends the request again.
	resp, err := s.transportFor(r, opts).RoundTrip(req)
	watch.stop()
	if err != nil {
		f := x.classify(ctx, err)
		cancel(nil)
		if f.Kind == Truncated { // net/http's error depends on the byte at which the header ends
			f.Kind = Reset
		}
		if f.Kind == Reset && !f.Reused && !f.ResponseBegan {
			s.idleLimits.recordReset(x.address, s.elapsed())
		}
		return nil, f
	}
	s.idleLimits.recordResponse(x.address, resp.Header)
	return newResponse(ctx, cancel, x, resp), nil
}

// httpRequest converts the request to net/http's form.
func (r Request) httpRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	req.Host = r.Host
	req.ContentLength = int64(len(r.Body))
	req.GetBody = nil
	if r.hasExplicitEmptyBody() {
		req.Body = http.NoBody
		return req, nil
	}
	req.Body = newSingleUseBody(r.Body)
	return req, nil
}

// transportFor returns the transport for the request. An explicit empty body can't be a
// singleUseBody (see there), so such a request gets a connection of its own.
func (s *Sender) transportFor(r Request, opts SendOptions) *http.Transport {
	if opts.NewConn || r.hasExplicitEmptyBody() {
		return s.unpooledTransport
	}
	return s.pooledTransport
}

// hasExplicitEmptyBody reports whether the request has to be sent with
// "Content-Length: 0". net/http does so only for http.NoBody; it sends any other empty Body,
// whose length it doesn't know, with chunked encoding.
func (r Request) hasExplicitEmptyBody() bool {
	return len(r.Body) == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead
}

// attempt tracks the connections that net/http uses for one request.
type attempt struct {
	sender   *Sender
	address  string // host:port
	watchdog *watchdog
	options  SendOptions

	mu                sync.Mutex
	conn              *trackedConn // last connection used, nil: none yet
	use               int64        // number of conn's use by this request
	initialWriteCalls int64        // conn.writeCalls before this request
	sentEarlier       bool         // the request may have been written to a connection before conn
	reused            bool         // conn had served a request before
	responseBegan     bool         // a byte of the response was received
}

func (x *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: x.onGotConn, GotFirstResponseByte: x.onGotFirstResponseByte, PutIdleConn: x.onPutIdleConn}
}

func (x *attempt) onGotFirstResponseByte() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.responseBegan = true
}

// onPutIdleConn is called when the connection was returned to the pool of idle connections.
func (x *attempt) onPutIdleConn(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil && x.conn != nil {
		x.conn.startIdleTimer(x.sender.idleLimits.limit(x.address, x.sender.elapsed()), x.use)
	}
}

func (x *attempt) onGotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentEarlier = x.mayHaveSentLocked()
	x.conn, _ = info.Conn.(*trackedConn)
	x.reused = info.Reused
	if x.conn != nil {
		x.use = x.conn.beginUse()
		x.initialWriteCalls = x.conn.writeCallCount()
	}
	limit := x.options.HeaderTimeout
	if info.Reused && x.options.ReusedHeaderTimeout > 0 {
		limit = x.options.ReusedHeaderTimeout
	}
	x.watchdog.reset(limit)
}

// mayHaveSent reports whether a byte of the request may have been sent. After false, no
// byte will be sent any more.
func (x *attempt) mayHaveSent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.mayHaveSentLocked()
}

func (x *attempt) mayHaveSentLocked() bool {
	if x.sentEarlier {
		return true
	}
	return x.conn != nil && !x.conn.disableWritesIfUnwritten(x.initialWriteCalls)
}

// classify converts an error of net/http to a Failure. Most of these errors have no type of
// their own, so it derives the kind from the states of the context and the connection.
func (x *attempt) classify(ctx context.Context, err error) *Failure {
	f := &Failure{Err: err, Sent: x.mayHaveSent(), Reused: x.isReused(), ResponseBegan: x.hasResponseBegun()}
	var dial *dialError
	switch {
	case errors.Is(context.Cause(ctx), errNoProgress):
		f.Kind = Silent
		f.Err = errNoProgress
	case ctx.Err() != nil:
		f.Kind = Cancelled
		f.Err = context.Cause(ctx)
	case errors.As(err, &dial):
		f.Kind = Dial
	case errors.Is(err, io.ErrUnexpectedEOF):
		f.Kind = Truncated
	case x.connFailed():
		f.Kind = Reset
	default:
		f.Kind = Malformed
	}
	return f
}

func (x *attempt) isReused() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reused
}

func (x *attempt) hasResponseBegun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.responseBegan
}

// closeConn closes the connection of the request, even if it is idle again.
func (x *attempt) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.abandon()
	}
}

func (x *attempt) connFailed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && x.conn.hasFailed()
}

package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
)

// Response is an HTTP response whose header was received. It isn't safe for concurrent use.
type Response struct {
	Status int
	Header http.Header

	ctx           context.Context
	cancel        context.CancelCauseFunc
	attempt       *attempt
	body          io.ReadCloser
	contentLength int64 // -1: unknown
	// framed reports whether the response marks its own end, by its length or by chunked
	// encoding. A response that ends when the connection closes can't be distinguished
	// from a truncated one.
	framed bool

	waitLimited bool          // waitLeft applies in place of SendOptions.ReadTimeout
	waitLeft    time.Duration // for which further reads may wait in all
}

func newResponse(ctx context.Context, cancel context.CancelCauseFunc, x *attempt, resp *http.Response) *Response {
	chunked := len(resp.TransferEncoding) > 0
	return &Response{
		Status: resp.StatusCode, Header: resp.Header,
		ctx: ctx, cancel: cancel, attempt: x,
		body: resp.Body, contentLength: resp.ContentLength,
		framed: chunked || resp.ContentLength >= 0 || resp.Body == http.NoBody,
	}
}

// Read reads the body with a timeout, see SendOptions.ReadTimeout and LimitWait. An error other
// than io.EOF is a *Failure.
func (r *Response) Read(p []byte) (int, error) {
	limit := r.attempt.options.ReadTimeout
	if r.waitLimited {
		if limit = r.waitLeft; limit <= 0 {
			r.cancel(errNoProgress) // makes the read below fail, or the one after the buffer's rest
		}
	}
	r.attempt.watchdog.reset(limit)
	began := time.Now()
	n, err := r.body.Read(p)
	r.waitLeft -= time.Since(began)
	// The watchdog is off between reads: a slow caller isn't a silent server.
	r.attempt.watchdog.stop()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, r.attempt.classify(r.ctx, err)
}

// LimitWait bounds for how long further reads of the body wait in all, until it is called again.
// With a timeout for each read, a server that sends a byte now and then would never be silent.
// The limit must be positive.
func (r *Response) LimitWait(limit time.Duration) { r.waitLimited, r.waitLeft = true, limit }

// SetReadTimeout sets the timeout of further reads of the body, 0: only the context limits
// them.
func (r *Response) SetReadTimeout(limit time.Duration) { r.attempt.options.ReadTimeout = limit }

// ReadAll reads the body to its end. It fails as Malformed if the body is longer than limit
// bytes, and as Truncated unless the framing (Content-Length or the last chunk, which
// net/http checks while it reads) confirms the end.
func (r *Response) ReadAll(limit int64) ([]byte, error) { return r.ReadAllLeased(limit, nil, 0) }

// ReadAllLeased is ReadAll with a lease that grows by what the body takes beyond prepaid bytes,
// which are in the lease already. It fails as NoRoom if the lease can't grow.
func (r *Response) ReadAllLeased(limit int64, lease *membudget.Lease, prepaid int64) ([]byte, error) {
	if !r.framed {
		return nil, r.newFailure(Truncated, errUnframed)
	}
	length := r.contentLength
	if r.body == http.NoBody {
		length = 0 // the length in the response to a HEAD request is that of another body
	}
	data, err := membudget.ReadAll(r, membudget.Body{Length: length, Limit: limit, Prepaid: prepaid}, lease)
	switch {
	case errors.Is(err, membudget.ErrTooLong):
		return nil, r.newFailure(Malformed, ErrTooLarge)
	case errors.Is(err, membudget.ErrNoRoom):
		return nil, r.newFailure(NoRoom, err)
	case err != nil:
		return nil, err
	}
	return data, nil
}

// Drain reads the body to its end as ReadAll does, and keeps none of it.
func (r *Response) Drain(limit int64) error {
	if !r.framed {
		return r.newFailure(Truncated, errUnframed)
	}
	if r.body != http.NoBody && r.contentLength > limit {
		return r.newFailure(Malformed, ErrTooLarge)
	}
	// One byte beyond the limit, to tell a body of just that length from a longer one.
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		err = r.newFailure(Malformed, ErrTooLarge)
	}
	return err
}

func (r *Response) newFailure(kind Kind, err error) *Failure {
	return &Failure{Kind: kind, Sent: true, Err: err}
}

// Close ends the exchange. Unless the body was read to its end, the connection is closed
// too, so that no later request can read the rest of this response.
func (r *Response) Close() {
	r.attempt.watchdog.stop()
	_ = r.body.Close()
	r.cancel(nil)
}

// CloseConn ends the exchange and closes its connection, also if the body was read to its end or
// is empty. It is for a response that isn't the one to its request: what follows on the
// connection belongs to yet another request.
func (r *Response) CloseConn() {
	r.Close()
	r.attempt.closeConn()
}

// Reused reports whether the connection had served a request before.
func (r *Response) Reused() bool { return r.attempt.isReused() }

// Framed reports whether the response marks its own end, by its length or by chunked
// encoding.
func (r *Response) Framed() bool { return r.framed }

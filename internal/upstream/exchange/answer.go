package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Answer is an answer whose header has arrived. It isn't safe for concurrent use.
type Answer struct {
	Status int
	Header http.Header

	ctx     context.Context
	cancel  context.CancelCauseFunc
	attempt *attempt
	body    io.ReadCloser
	length  int64 // Content-Length, -1 when unknown
	// framed: the answer tells its own end. An answer that lasts until the
	// connection closes can't be told from one cut off.
	framed bool
}

func newAnswer(ctx context.Context, cancel context.CancelCauseFunc, x *attempt, resp *http.Response) *Answer {
	chunked := len(resp.TransferEncoding) > 0
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header,
		ctx: ctx, cancel: cancel, attempt: x,
		body: resp.Body, length: resp.ContentLength,
		framed: chunked || resp.ContentLength >= 0 || resp.Body == http.NoBody,
	}
}

// Read reads the body and watches its progress. An error other than io.EOF is a *Failure.
func (a *Answer) Read(p []byte) (int, error) {
	a.attempt.watch.reset(a.attempt.plan.Progress)
	n, err := a.body.Read(p)
	// Off while the caller works: its slowness isn't the upstream's silence.
	a.attempt.watch.stop()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, a.attempt.classify(a.ctx, err)
}

// LimitProgress changes the wait for each further part of the body.
func (a *Answer) LimitProgress(limit time.Duration) { a.attempt.plan.Progress = limit }

// Whole reads the body to its end. It fails as Truncated unless the body's own
// framing (Content-Length or the last chunk) says that this is the end, which
// net/http checks while it reads, and as Malformed when it is longer than limit bytes.
func (a *Answer) Whole(limit int64) ([]byte, error) {
	if a.length > limit {
		return nil, a.fail(Malformed, ErrTooLarge)
	}
	data, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, a.fail(Malformed, ErrTooLarge)
	}
	if !a.framed {
		return nil, a.fail(Truncated, errUnframed)
	}
	return data, nil
}

func (a *Answer) fail(kind Kind, err error) *Failure {
	return &Failure{Kind: kind, Sent: true, Err: err}
}

// Close ends the exchange. Unless the body was read to its end, the connection
// is closed too, so that no later request can meet what is left on it.
func (a *Answer) Close() {
	a.attempt.watch.stop()
	_ = a.body.Close()
	a.cancel(nil)
}

// Framed reports whether the answer tells its own end, by length or chunks.
func (a *Answer) Framed() bool { return a.framed }

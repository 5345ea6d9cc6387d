package exchange

import (
	"bytes"
	"errors"
	"io"
)

// errBodyReread is returned if net/http reads the same request body again.
var errBodyReread = errors.New("request body may be read only once")

// singleUseBody is a request body that prevents the automatic retries of net/http.
//
// net/http sends a request again by itself if a reused connection breaks before the
// response, provided that the method is GET, HEAD, OPTIONS or TRACE or the header has
// (X-)Idempotency-Key, and that the body can be read again. The upstream may have run the
// first copy, and then receives the same request twice.
//
// http.Request.isReplayable returns false for all methods and headers if Body is neither nil
// nor http.NoBody and GetBody is nil. So a singleUseBody is also set on a GET, where net/http
// itself would use NoBody. The other case in which shouldRetryRequest allows a retry (nothing
// was written yet) requires GetBody or a length of 0, and the length of a request that has a
// Body and ContentLength 0 is unknown. Should a later version of net/http change these rules,
// reading the body of the second copy fails before it is complete.
//
// Two kinds of request are sent through Sender.unpooledTransport instead, whose connections
// are never reused, since net/http retries only after a failure of a reused connection:
// requests that ask for a new connection, and those for which Request.hasExplicitEmptyBody is true, since
// net/http would send an empty singleUseBody with chunked encoding.
type singleUseBody struct {
	reader     *bytes.Reader
	reachedEOF bool
	closed     bool
}

func newSingleUseBody(data []byte) *singleUseBody {
	return &singleUseBody{reader: bytes.NewReader(data)}
}

// Read returns the bytes once. It fails after Close and after the end was read.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if b.closed || (b.reachedEOF && b.reader.Size() > 0) {
		return 0, errBodyReread
	}
	n, err := b.reader.Read(p)
	b.reachedEOF = errors.Is(err, io.EOF)
	return n, err
}

// Close makes further reads fail.
func (b *singleUseBody) Close() error {
	b.closed = true
	return nil
}

package exchange

import (
	"bytes"
	"errors"
	"io"
)

// errBodySentOnce shows only if net/http asks for the same body again.
var errBodySentOnce = errors.New("request body may be read only once")

// onceBody is the guard against net/http's silent retry.
//
// The failure: net/http sends a request a second time by itself when the reused
// connection it chose dies before an answer, if the method is GET, HEAD, OPTIONS
// or TRACE or the header has (X-)Idempotency-Key, and the body can be had again.
// The upstream may have run the first. It shows as two arrivals for one call.
//
// Why the guard holds: Request.isReplayable is false for every method and header
// as long as Body is neither nil nor http.NoBody and GetBody is nil. So an
// onceBody goes with a GET too, where net/http itself would put NoBody. The other
// branch of shouldRetryRequest (nothing was written yet) asks for GetBody or a
// length of 0, and the length of a request with a Body and ContentLength 0 counts
// as unknown. Should a later net/http change these rules, the second copy's body
// fails before it is whole.
//
// The rest goes by Sender.fresh, whose connections are never reused: any such
// retry asks for a reused connection first. These are what may not run twice
// (Plan.Fresh) and a POST or the like without a byte of body, which net/http
// treats specially: an onceBody of no bytes would go out as chunks.
type onceBody struct {
	rest   *bytes.Reader
	ended  bool
	closed bool
}

func newOnceBody(data []byte) *onceBody { return &onceBody{rest: bytes.NewReader(data)} }

// Read returns the bytes once; after Close, or a second time, it fails.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.closed || (b.ended && b.rest.Size() > 0) {
		return 0, errBodySentOnce
	}
	n, err := b.rest.Read(p)
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// Close ends the body's only use.
func (b *onceBody) Close() error {
	b.closed = true
	return nil
}

// Package upstream is the HTTP/1.1 client for engines, services and scorers. It sends each
// request at most once and checks that the response is complete and belongs to the request.
// If not, the error states whether the upstream may have run the request. Retries are the
// responsibility of internal/dispatch.
package upstream

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Fault classifies a failed exchange with an upstream.
type Fault int

// The faults. After the colon is the usual outcome of each. The outcome of Reset, Silent and
// Cancelled is NotRun instead if no byte of the request was written.
const (
	Refused   Fault = iota // no connection could be established: NotRun
	Rejected               // the upstream states that it did not run the request: NotRun
	Reset                  // the connection broke before the header was complete, or by a TCP reset: Unknown
	Truncated              // the response ended before its end marker: Unknown
	Silent                 // no progress within the timeout: Unknown
	Crossed                // the response is for another request: Unknown
	Status                 // the upstream responded with an error status: Ran
	Malformed              // the response can't be parsed or exceeds a size limit: Unknown
	Cancelled              // the caller cancelled the request or its deadline passed: Unknown
)

var faultNames = [...]string{
	Refused: "refused", Rejected: "rejected", Reset: "reset", Truncated: "truncated",
	Silent: "silent", Crossed: "crossed", Status: "status", Malformed: "malformed",
	Cancelled: "cancelled",
}

// String returns the name of the fault in lower case.
func (f Fault) String() string {
	if f < 0 || int(f) >= len(faultNames) {
		return fmt.Sprintf("fault(%d)", int(f))
	}
	return faultNames[f]
}

// Error is the error that the methods of Client return.
type Error struct {
	Fault      Fault
	Outcome    outcome.Outcome
	Upstream   ident.Upstream
	Leaving    bool // the response has "X-Leaving: true": the upstream is shutting down
	StatusCode int  // HTTP status, 0: no response header was received
	// RetryAfter is the wait that the upstream asked for before a retry, 0: none.
	RetryAfter time.Duration
	Err        error // cause
}

// Error returns the upstream, the fault, the outcome and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %s (%s): %v", e.Upstream, e.Fault, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Target is the upstream that a request is sent to.
type Target struct {
	Name    ident.Upstream
	Address string // ip:port
}

// GenerateRequest asks an engine for a completion. If Chat isn't empty, Prompt is ignored.
type GenerateRequest struct {
	ID        ident.RequestID
	Model     ident.Model
	Prompt    string
	Chat      []wire.Message
	MaxTokens int // maximum length of the completion
	Seed      int64
	// ResumeText and ResumeTokens are the text that another engine has already generated
	// and its number of tokens.
	ResumeText   string
	ResumeTokens int
}

// Chunk holds consecutive tokens that were generated with one weight version. Chunks that
// arrive together are merged.
type Chunk struct {
	Text         string
	Tokens       int           // number of tokens in Text
	Version      ident.Version // weight version, 0 only if Tokens is 0 and Text is empty
	CachedTokens int           // prompt tokens found in the engine's prefix cache, on the first chunk
	FinishReason string        // only on the last chunk
	Leaving      bool          // the engine announced in the response header that it is shutting down
}

// ServiceRequest is one call of a service.
type ServiceRequest struct {
	ID     ident.RequestID
	Method string
	Path   string // includes the query
	Header http.Header
	Body   []byte
	// NeverRetry marks a call that must not run twice. It is sent over a new connection.
	NeverRetry bool
	// FirstByteTimeout limits the wait for the response header; after it the call fails as
	// Silent. If it is 0, only the context limits the wait, and on a reused connection also
	// Options.FirstByteTimeout.
	FirstByteTimeout time.Duration
}

// ServiceResponse is the complete response of a service, of any status.
type ServiceResponse struct {
	Status  int
	Header  http.Header
	Body    []byte
	Leaving bool // the service announced that it is shutting down
}

// Options are the timeouts and size limits of a Client. Numbers that aren't positive get the
// defaults.
type Options struct {
	DialTimeout time.Duration // default 2 s
	// FirstByteTimeout limits the wait for the response header of Generate and Score, and
	// for the first chunk of a stream, default 10 s. On a reused connection, the header
	// must arrive within ProgressTimeout if that is shorter. For Call see ServiceRequest.
	// Only the context limits the wait for the response to an order.
	FirstByteTimeout time.Duration
	// ProgressTimeout limits the wait for the next byte of a response body, and for the
	// response header of Load and CacheEvents, default 5 s.
	ProgressTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept, default 2 s. It should be
	// shorter than the other timeouts: see exchange.Options.
	IdleTimeout time.Duration
	// MaxEventBytes limits the size of one event of a stream, default 1 MiB.
	MaxEventBytes int
	// MaxBodyBytes limits the size of a response that isn't a stream, default 16 MiB.
	MaxBodyBytes int64
	// OnLeaving, if set, is called for each response in which an upstream announces that
	// it is shutting down.
	OnLeaving func(ident.Upstream)
	// Dial replaces TCP in tests, nil: TCP.
	Dial exchange.DialFunc
}

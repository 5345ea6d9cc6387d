// Package upstream is the adapter between the daemon and engines, services and
// scorers over HTTP/1.1. It sends each request at most once, checks that the
// answer is whole and its own, and says truthfully what is known when it isn't.
// Retrying is the business of internal/dispatch.
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

// The faults. Behind each stands its usual outcome. Reset, Silent and Cancelled
// are NotRun instead when no byte of the request was ever written.
const (
	Refused   Fault = iota // no connection could be made: NotRun
	Rejected               // the upstream says that nothing ran: NotRun
	Reset                  // the connection broke before the header was whole, or by a TCP reset: Unknown
	Truncated              // the answer ended before its end mark: Unknown
	Silent                 // no progress within the time-out: Unknown
	Crossed                // the answer names another request: Unknown
	Status                 // the upstream answered an error: Ran
	Malformed              // the answer can't be read or exceeds a bound: Unknown
	Cancelled              // the caller gave up or its deadline passed: Unknown
)

var faultNames = [...]string{
	Refused: "refused", Rejected: "rejected", Reset: "reset", Truncated: "truncated",
	Silent: "silent", Crossed: "crossed", Status: "status", Malformed: "malformed",
	Cancelled: "cancelled",
}

// String returns the fault's name in lower case.
func (f Fault) String() string {
	if f < 0 || int(f) >= len(faultNames) {
		return fmt.Sprintf("fault(%d)", int(f))
	}
	return faultNames[f]
}

// Error is the error of every method of Client.
type Error struct {
	Fault    Fault
	Outcome  outcome.Outcome
	Upstream ident.Upstream
	Leaving  bool // the answer carried X-Leaving: true
	Code     int  // HTTP status, 0 when no answer began
	// RetryAfter is what the upstream asked for, 0 when it didn't.
	RetryAfter time.Duration
	Err        error
}

// Error describes the fault, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %s (%s): %v", e.Upstream, e.Fault, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Target is an upstream and where it listens.
type Target struct {
	Name    ident.Upstream
	Address string // ip:port
}

// GenerateRequest asks an engine for a completion. Chat, if not empty, takes
// the place of Prompt.
type GenerateRequest struct {
	ID        ident.RequestID
	Model     ident.Model
	Prompt    string
	Chat      []wire.Message
	MaxTokens int
	Seed      int64
	// ResumeText and ResumeTokens are what another engine already generated.
	ResumeText   string
	ResumeTokens int
}

// Chunk is consecutive tokens of one weight version. Chunks that arrived
// together are merged.
type Chunk struct {
	Text         string
	Tokens       int
	Version      ident.Version // 0 only when Tokens is 0 and Text is empty
	CachedTokens int           // prompt tokens found in the engine's cache, on the first chunk
	FinishReason string        // only on the last chunk
	Leaving      bool          // the engine said that it is leaving
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID     ident.RequestID
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	// NeverRetry: the call may not run twice, so it goes out on a connection of its own.
	NeverRetry bool
	// FirstByteTimeout makes a service that doesn't begin to answer in time Silent. 0: only
	// the context ends the wait, and on a reused connection Options.FirstByteTimeout.
	FirstByteTimeout time.Duration
}

// ServiceResponse is a service's whole answer, whatever its status.
type ServiceResponse struct {
	Status  int
	Header  http.Header
	Body    []byte
	Leaving bool
}

// Options are the limits of a Client. Zero values take the defaults.
type Options struct {
	DialTimeout time.Duration // default 2 s
	// FirstByteTimeout bounds the wait for the header of an answer to Generate and Score,
	// and for a stream's first chunk, default 10 s; on a reused connection the header
	// must come within ProgressTimeout. For Call see ServiceRequest.
	// An order takes as long as its context allows.
	FirstByteTimeout time.Duration
	// ProgressTimeout bounds the wait for the next byte of an answer's body, and for
	// the answer to Load and CacheEvents, default 5 s.
	ProgressTimeout time.Duration
	// IdleTimeout closes a connection that nothing used, default 2 s. Keep it below
	// the other time-outs: see exchange.Options.
	IdleTimeout time.Duration
	// MaxEventBytes bounds one event of a stream, default 1 MiB.
	MaxEventBytes int
	// MaxBodyBytes bounds an answer that isn't a stream, default 16 MiB.
	MaxBodyBytes int64
	// OnLeaving, if set, hears of every answer that says that its upstream is leaving.
	OnLeaving func(ident.Upstream)
	// Dial replaces TCP, for tests.
	Dial exchange.DialFunc
}

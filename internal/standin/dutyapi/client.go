package dutyapi

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/duties"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// Faults are what a client suffers at the moment.
type Faults struct {
	Latency time.Duration // of each answer
	Refuse  bool          // every call is refused
	Cut     bool          // calls hang until their time is up; none arrives
	// Hold, if set, is waited for before a call leaves: a process that stands still
	// between the look at its claim and the call.
	Hold func()
	// Late, if it returns a duration, has a call carried out so much later, unanswered.
	Late func() time.Duration
}

// Client is one VM's way to an API. It implements duties.Platform.
type Client struct {
	api     *API
	timeout time.Duration

	mu     sync.Mutex
	faults Faults
}

var _ duties.Platform = (*Client)(nil)

// NewClient returns a client without faults whose calls end after a time.
func NewClient(a *API, timeout time.Duration) *Client { return &Client{api: a, timeout: timeout} }

// SetFaults changes what the client suffers from now on.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// ReportUsage implements duties.Platform.
func (c *Client) ReportUsage(ctx context.Context, call duties.Claim, report usage.WindowCounts) (duties.Outcome, error) {
	return c.send(ctx, func() int { return c.api.ReportUsage(call.Holder, call.FencingToken, report.Window, report.Counts) })
}

// Scale implements duties.Platform.
func (c *Client) Scale(ctx context.Context, call duties.Claim, service string, o scaling.Order) (duties.Outcome, error) {
	return c.send(ctx, func() int { return c.api.Scale(call.Holder, call.FencingToken, service, o) })
}

// Reachable implements duties.Platform.
func (c *Client) Reachable(ctx context.Context) bool {
	c.mu.Lock()
	cut := c.faults.Cut
	c.mu.Unlock()
	if cut {
		pause.For(ctx, dialTimeout)
	}
	return !cut
}

// dialTimeout is how long a connection is waited for that can't be made.
const dialTimeout = 400 * time.Millisecond

var errNoAnswer = errors.New("no answer")

func (c *Client) send(ctx context.Context, do func() int) (duties.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if f.Hold != nil {
		f.Hold()
	}
	if f.Cut {
		<-ctx.Done()
		return duties.Unknown, errNoAnswer
	}
	if f.Late != nil {
		if after := f.Late(); after > 0 {
			time.AfterFunc(after, func() { do() }) // nobody waits for its answer
			<-ctx.Done()
			return duties.Unknown, errNoAnswer
		}
	}
	pause.For(ctx, f.Latency)
	if f.Refuse {
		return duties.Refused, errors.New("refused")
	}
	switch status := do(); status {
	case http.StatusOK:
		return duties.Done, nil
	case http.StatusConflict:
		return duties.Fenced, errors.New("fenced")
	case NoneAvailable:
		return duties.Unavailable, errors.New("none available")
	default:
		return duties.Refused, errors.New("too many calls")
	}
}

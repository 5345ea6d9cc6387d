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

// Faults are the faults currently injected into a client's calls.
type Faults struct {
	Latency     time.Duration // added to each call
	Refuse      bool          // every call is refused
	Unreachable bool          // calls don't reach the API and time out
	// BeforeSend, if set, is called before each call and delays it until it returns. It
	// simulates a process that is suspended between checking its claim and sending the
	// call.
	BeforeSend func()
	// DelayCall, if set, returns by how much a call is delayed; 0: not at all. A delayed call is
	// executed at the end of the delay and never answered.
	DelayCall func() time.Duration
}

// Client is one VM's connection to an API. It implements duties.Platform.
type Client struct {
	api     *API
	timeout time.Duration // of a call

	mu     sync.Mutex
	faults Faults
}

var _ duties.Platform = (*Client)(nil)

// NewClient returns a client without faults. timeout bounds each of its calls.
func NewClient(a *API, timeout time.Duration) *Client { return &Client{api: a, timeout: timeout} }

// SetFaults replaces the faults of future calls.
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
	cut := c.faults.Unreachable
	c.mu.Unlock()
	if cut {
		pause.For(ctx, dialTimeout)
	}
	return !cut
}

// dialTimeout is how long Reachable waits for a connection that can't be established.
const dialTimeout = 400 * time.Millisecond

var errNoResponse = errors.New("no response before the timeout")

// send executes a call under the client's faults. execute returns the HTTP status.
func (c *Client) send(ctx context.Context, execute func() int) (duties.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if f.BeforeSend != nil {
		f.BeforeSend()
	}
	if f.Unreachable {
		<-ctx.Done()
		return duties.Unknown, errNoResponse
	}
	if f.DelayCall != nil {
		if delay := f.DelayCall(); delay > 0 {
			time.AfterFunc(delay, func() { execute() }) // nobody waits for the result
			<-ctx.Done()
			return duties.Unknown, errNoResponse
		}
	}
	pause.For(ctx, f.Latency)
	if f.Refuse {
		return duties.Refused, errors.New("refused")
	}
	switch status := execute(); status {
	case http.StatusOK:
		return duties.Done, nil
	case http.StatusConflict:
		return duties.Fenced, errors.New("fenced")
	case StatusNoneAvailable:
		return duties.Unavailable, errors.New("no server of this kind is available")
	default:
		return duties.Refused, errors.New("rate limit exceeded")
	}
}

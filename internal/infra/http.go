package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Defaults of Options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultMaxBodyBytes = 8 << 20
)

// Options are the limits of an adapter. Zero values take the defaults.
type Options struct {
	// Timeout bounds a whole call, so that a silent connection is found. A read that
	// may wait for records gets it on top of the wait.
	Timeout time.Duration
	// MaxBodyBytes bounds an answer.
	MaxBodyBytes int64
	// Dial replaces TCP, for tests.
	Dial exchange.DialFunc
}

// idleTimeout is no longer than a call's time-out: when one connection is found to
// be silent, those that fell silent beside it are closed already.
const idleTimeout = DefaultTimeout

var errTimeout = errors.New("no answer within the time-out")

// client does the calls that the three adapters share.
type client struct {
	base    string
	options Options
	sender  *exchange.Sender
}

func newClient(baseURL string, o Options) (*client, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("infra: base URL: %w", err)
	}
	if u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return nil, fmt.Errorf("infra: base URL %q: want http://host:port, with or without a path", baseURL)
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return &client{
		base:    "http://" + u.Host + trimSlash(u.EscapedPath()),
		options: o,
		sender:  exchange.NewSender(exchange.Options{DialTimeout: o.Timeout, IdleTimeout: min(idleTimeout, o.Timeout), Dial: o.Dial}),
	}, nil
}

func trimSlash(path string) string {
	for len(path) > 0 && path[len(path)-1] == '/' {
		path = path[:len(path)-1]
	}
	return path
}

// answer is a whole answer of the platform.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// get asks for something that changes nothing; wait is how long the platform may
// hold the answer back. Every failure is ErrUnavailable.
func (c *client) get(ctx context.Context, path string, wait time.Duration) (answer, error) {
	r := exchange.Request{Method: http.MethodGet, URL: c.base + path}
	plan := exchange.Plan{}
	if wait == 0 {
		plan.FirstByteReused = c.options.Timeout / reusedPart
	}
	a, err := c.do(ctx, r, wait, plan)
	if isSilent(err) {
		a, err = c.do(ctx, r, wait, exchange.Plan{Fresh: true})
	}
	if err != nil {
		return answer{}, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	return a, nil
}

// reusedPart is the part of a call's time that a reused connection gets to begin
// its answer. It may have fallen silent; what changes nothing is then asked again on
// a new one, so that the caller isn't refused for a dead connection's sake.
const reusedPart = 4

func isSilent(err error) bool {
	var f *exchange.Failure
	return errors.As(err, &f) && f.Kind == exchange.Silent
}

// post asks for a change on a connection of its own, once.
func (c *client) post(ctx context.Context, path string, body any) (answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return answer{}, fmt.Errorf("%w: POST %s: %w", ErrUnavailable, path, err)
	}
	r := exchange.Request{
		Method: http.MethodPost,
		URL:    c.base + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   data,
	}
	a, err := c.do(ctx, r, 0, exchange.Plan{Fresh: true})
	if err != nil {
		return answer{}, fmt.Errorf("%w: POST %s: %w", outcomeOf(err), path, err)
	}
	return a, nil
}

// outcomeOf: only what was certainly never written has certainly not happened.
func outcomeOf(err error) error {
	var f *exchange.Failure
	if errors.As(err, &f) && !f.Sent {
		return ErrUnavailable
	}
	return ErrUnknown
}

// do bounds the whole call. What it gives up on is closed, never used again.
func (c *client) do(ctx context.Context, r exchange.Request, wait time.Duration, plan exchange.Plan) (answer, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, wait+c.options.Timeout, errTimeout)
	defer cancel()
	got, err := c.sender.Send(ctx, r, plan)
	if err != nil {
		return answer{}, err
	}
	defer got.Close()
	body, err := got.Whole(c.options.MaxBodyBytes)
	if err != nil {
		return answer{}, err
	}
	return answer{status: got.Status, header: got.Header, body: body}, nil
}

// statusError is an answer that isn't the one asked for.
func (a answer) statusError() error {
	const maxText = 200
	return fmt.Errorf("status %d: %.*q", a.status, maxText, a.body)
}

// didNothing: the platform says that it refused. Other 5xx answers may come from
// something between us and it that lost the real answer.
func (a answer) didNothing() bool {
	switch {
	case a.header.Get(wire.HeaderNotRun) == "true":
		return true
	case a.status == http.StatusServiceUnavailable:
		return true
	default:
		return a.status >= 400 && a.status < 500 && a.status != http.StatusRequestTimeout
	}
}

// getJSON is get with a 200 decoded into result.
func (c *client) getJSON(ctx context.Context, path string, result any) error {
	a, err := c.get(ctx, path, 0)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, a.statusError())
	}
	if err := json.Unmarshal(a.body, result); err != nil {
		return fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	return nil
}

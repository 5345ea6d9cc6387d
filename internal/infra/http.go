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

// The defaults of Options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultMaxBodyBytes = 8 << 20
)

// Options configures an adapter. Zero values stand for the defaults.
type Options struct {
	// Timeout is the timeout of a whole call, by which a dead connection is detected. For a
	// read that may wait for records it is added to that wait.
	Timeout time.Duration
	// MaxBodyBytes limits the size of a response body.
	MaxBodyBytes int64
	// Dial replaces TCP in tests, nil: TCP.
	Dial exchange.DialFunc
}

// idleTimeout is not longer than the default timeout of a call. When a call detects that a
// connection is dead, others that died at the same time have been closed already.
const idleTimeout = DefaultTimeout

var errTimeout = errors.New("no response within the timeout")

// client makes the HTTP calls of the adapters.
type client struct {
	base    string // URL without a trailing slash
	options Options
	sender  *exchange.Sender
}

// newClient returns a client of a base URL.

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

// trimSlash removes trailing slashes.
func trimSlash(path string) string {
	for len(path) > 0 && path[len(path)-1] == '/' {
		path = path[:len(path)-1]
	}
	return path
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// get makes a GET call, which has no effect on the server. wait is how long the server may
// delay the response. Every error is an ErrUnavailable.
func (c *client) get(ctx context.Context, path string, wait time.Duration) (response, error) {
	r := exchange.Request{Method: http.MethodGet, URL: c.base + path}
	plan := exchange.SendOptions{}
	if wait == 0 {
		plan.ReusedHeaderTimeout = c.options.Timeout / reusedFirstByteDivisor
	}
	resp, err := c.do(ctx, r, wait, plan)
	if isSilent(err) {
		resp, err = c.do(ctx, r, wait, exchange.SendOptions{NewConn: true})
	}
	if err != nil {
		return response{}, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	return resp, nil
}

// reusedFirstByteDivisor divides the timeout of a call, to give the time within which a
// response must begin on a reused connection. The connection may be dead. A GET is then sent
// again on a new connection, so that the call doesn't fail because of the dead one.
const reusedFirstByteDivisor = 4

// isSilent reports whether a connection gave no response in time.
func isSilent(err error) bool {
	var f *exchange.Failure
	return errors.As(err, &f) && f.Kind == exchange.Silent
}

// post makes a POST call once, on a new connection. body is encoded as JSON.
func (c *client) post(ctx context.Context, path string, body any) (response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return response{}, fmt.Errorf("%w: POST %s: %w", ErrUnavailable, path, err)
	}
	r := exchange.Request{
		Method: http.MethodPost,
		URL:    c.base + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   data,
	}
	resp, err := c.do(ctx, r, 0, exchange.SendOptions{NewConn: true})
	if err != nil {
		return response{}, fmt.Errorf("%w: POST %s: %w", outcomeError(err), path, err)
	}
	return resp, nil
}

// outcomeError returns ErrUnavailable for a failed call if certainly no byte of the request
// was sent, else ErrUnknown.
func outcomeError(err error) error {
	var f *exchange.Failure
	if errors.As(err, &f) && !f.Sent {
		return ErrUnavailable
	}
	return ErrUnknown
}

// do makes one call with a timeout. The connection of a call that failed is closed.
func (c *client) do(ctx context.Context, r exchange.Request, wait time.Duration, plan exchange.SendOptions) (response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, wait+c.options.Timeout, errTimeout)
	defer cancel()
	resp, err := c.sender.Send(ctx, r, plan)
	if err != nil {
		return response{}, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(c.options.MaxBodyBytes)
	if err != nil {
		return response{}, err
	}
	return response{status: resp.Status, header: resp.Header, body: body}, nil
}

// statusError returns an error with the status and the beginning of the body.
func (r response) statusError() error {
	const maxText = 200
	return fmt.Errorf("status %d: %.*q", r.status, maxText, r.body)
}

// refused reports whether the response certainly means that the platform refused the call and
// nothing happened. Other 5xx responses may come from a proxy that lost the platform's response.
func (r response) refused() bool {
	switch {
	case r.header.Get(wire.HeaderNotRun) == "true":
		return true
	case r.status == http.StatusServiceUnavailable:
		return true
	default:
		return r.status >= 400 && r.status < 500 && r.status != http.StatusRequestTimeout
	}
}

// getJSON makes a GET call and decodes the body of a response with status 200 into result.
func (c *client) getJSON(ctx context.Context, path string, result any) error {
	resp, err := c.get(ctx, path, 0)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, resp.statusError())
	}
	if err := json.Unmarshal(resp.body, result); err != nil {
		return fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	return nil
}

package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// The defaults of Options.
const (
	DefaultDialTimeout      = 2 * time.Second
	DefaultFirstByteTimeout = 10 * time.Second
	DefaultProgressTimeout  = 5 * time.Second
	DefaultIdleTimeout      = 2 * time.Second
	DefaultMaxEventBytes    = 1 << 20
	DefaultMaxBodyBytes     = 16 << 20
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	options         Options
	sender          *exchange.Sender
	mergingDisabled bool // chunks aren't merged, for the benchmark
}

// New returns a Client with its own connection pool.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{options: o, sender: exchange.NewSender(exchange.Options{
		DialTimeout: o.DialTimeout,
		IdleTimeout: o.IdleTimeout,
		Dial:        o.Dial,
	})}
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.FirstByteTimeout, DefaultFirstByteTimeout)
	setDefault(&o.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxEventBytes, DefaultMaxEventBytes)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	return o
}

// setDefault replaces a value that isn't positive.
func setDefault[T time.Duration | int | int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// CloseIdle closes the connections that no request uses. It is meant for the end of the
// process.
func (c *Client) CloseIdle() { c.sender.CloseIdle() }

// call is one request and the data that its response is checked against.
type call struct {
	client      *Client
	target      Target
	requestID   ident.RequestID // "": none is sent
	method      string
	path        string // includes the query
	header      http.Header
	body        []byte
	sendOptions exchange.SendOptions
}

// queryOptions returns the options for status queries, which an upstream can answer at once.
func (c *Client) queryOptions() exchange.SendOptions {
	return exchange.SendOptions{HeaderTimeout: c.options.ProgressTimeout, ReadTimeout: c.options.ProgressTimeout}
}

// queuedOptions returns the options for requests that the upstream may queue before it
// responds. The timeout is shorter on a reused connection, which may be dead.
func (c *Client) queuedOptions() exchange.SendOptions {
	return exchange.SendOptions{
		HeaderTimeout:       c.options.FirstByteTimeout,
		ReusedHeaderTimeout: min(c.options.FirstByteTimeout, c.options.ProgressTimeout),
		ReadTimeout:         c.options.ProgressTimeout,
	}
}

// unboundedOptions returns the options for requests whose response time is limited by the
// context alone. Only a reused connection, which may be dead, has a timeout for the header; a
// connection that was just opened is known to work.
func (c *Client) unboundedOptions() exchange.SendOptions {
	return exchange.SendOptions{ReusedHeaderTimeout: c.options.FirstByteTimeout, ReadTimeout: c.options.ProgressTimeout}
}

// nonRepeatableOptions returns the options for requests that must not run twice.
func (c *Client) nonRepeatableOptions() exchange.SendOptions {
	return exchange.SendOptions{NewConn: true, ReadTimeout: c.options.ProgressTimeout}
}

// newJSONCall returns a POST request with a JSON body. The caller sets sendOptions.
func (c *Client) newJSONCall(t Target, id ident.RequestID, path string, body any) (*call, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, unsentError(t, err)
	}
	header := make(http.Header, 4)
	header.Set("Content-Type", "application/json")
	k := &call{client: c, target: t, requestID: id, method: http.MethodPost, path: path, header: header, body: data}
	return k, nil
}

// newGetCall returns a GET request for a status query.
func (c *Client) newGetCall(t Target, path string) *call {
	header := make(http.Header, 2)
	return &call{client: c, target: t, method: http.MethodGet, path: path, header: header, sendOptions: c.queryOptions()}
}

// send sends the request. Before it returns a response, it reports an upstream that is
// shutting down to Options.OnLeaving and checks that the response isn't for another request.
func (k *call) send(ctx context.Context) (*exchange.Response, error) {
	if !strings.HasPrefix(k.path, "/") {
		return nil, unsentError(k.target, fmt.Errorf("path %q doesn't begin with /", k.path))
	}
	if k.requestID != "" {
		k.header.Set(wire.HeaderRequestID, string(k.requestID))
	}
	resp, err := k.client.sender.Send(ctx, exchange.Request{
		Method: k.method,
		URL:    "http://" + k.target.Address + k.path,
		Header: k.header,
		Body:   k.body,
	}, k.sendOptions)
	if err != nil {
		return nil, k.exchangeError(err)
	}
	if reportsLeaving(resp.Header) && k.client.options.OnLeaving != nil {
		k.client.options.OnLeaving(k.target.Name)
	}
	if err := k.checkRequestID(resp); err != nil {
		resp.CloseConn()
		return nil, err
	}
	return resp, nil
}

// checkRequestID returns an error if the request ID in the header is that of another request.
// This is checked before the status and X-Not-Run, which would belong to the other request
// too. A status query has no ID, so a response to it that names a request is another's.
func (k *call) checkRequestID(resp *exchange.Response) error {
	got := resp.Header.Get(wire.HeaderRequestID)
	if got == "" || got == string(k.requestID) {
		return nil
	}
	return k.responseFault(Crossed, resp, fmt.Errorf("response is for request %q, not %q", got, k.requestID))
}

// sendForJSON sends the request and decodes the JSON body of the response into result. A
// status other than 200 is an error.
func (k *call) sendForJSON(ctx context.Context, result any) (*exchange.Response, error) {
	resp, err := k.send(ctx)
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return resp, k.statusError(resp)
	}
	return resp, k.decodeBody(resp, result)
}

// decodeBody decodes the JSON body of a response into result. The body may take as long as one
// part of a stream, however slowly its bytes come.
func (k *call) decodeBody(resp *exchange.Response, result any) error {
	resp.LimitWait(k.client.options.ProgressTimeout)
	data, err := resp.ReadAll(k.client.options.MaxBodyBytes)
	if err != nil {
		return k.responseError(resp, err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return k.responseFault(Malformed, resp, err)
	}
	return nil
}

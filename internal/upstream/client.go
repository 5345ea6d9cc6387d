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

// Defaults of Options.
const (
	DefaultDialTimeout      = 2 * time.Second
	DefaultFirstByteTimeout = 10 * time.Second
	DefaultProgressTimeout  = 5 * time.Second
	DefaultIdleTimeout      = 2 * time.Second
	DefaultMaxEventBytes    = 1 << 20
	DefaultMaxBodyBytes     = 16 << 20
)

// Client speaks with upstreams. It is safe for concurrent use.
type Client struct {
	options Options
	sender  *exchange.Sender
	noMerge bool // for the benchmark
}

// New returns a Client with its own connections.
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

func setDefault[T time.Duration | int | int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// CloseIdle closes connections that no request uses, at the end of the process.
func (c *Client) CloseIdle() { c.sender.CloseIdle() }

// call is one exchange and what its checks need.
type call struct {
	client *Client
	target Target
	id     ident.RequestID
	method string
	path   string
	header http.Header
	body   []byte
	plan   exchange.Plan
}

// prompt is the plan for answers that need no work.
func (c *Client) prompt() exchange.Plan {
	return exchange.Plan{FirstByte: c.options.ProgressTimeout, Progress: c.options.ProgressTimeout}
}

// waiting is the plan for answers that begin after a wait in a queue. A reused
// connection may be dead, so less patience is given to it.
func (c *Client) waiting() exchange.Plan {
	return exchange.Plan{
		FirstByte:       c.options.FirstByteTimeout,
		FirstByteReused: min(c.options.FirstByteTimeout, c.options.ProgressTimeout),
		Progress:        c.options.ProgressTimeout,
	}
}

// working is the plan for answers that may take as long as the context allows. A
// connection just dialled was alive a moment ago; a reused one may not be.
func (c *Client) working() exchange.Plan {
	return exchange.Plan{FirstByteReused: c.options.FirstByteTimeout, Progress: c.options.ProgressTimeout}
}

// once is the plan for requests that may not run twice.
func (c *Client) once() exchange.Plan {
	return exchange.Plan{Fresh: true, Progress: c.options.ProgressTimeout}
}

func (c *Client) json(t Target, id ident.RequestID, path string, body any) (*call, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, unsent(t, err)
	}
	header := make(http.Header, 4)
	header.Set("Content-Type", "application/json")
	k := &call{client: c, target: t, id: id, method: http.MethodPost, path: path, header: header, body: data}
	return k, nil
}

func (c *Client) get(t Target, path string) *call {
	header := make(http.Header, 2)
	return &call{client: c, target: t, method: http.MethodGet, path: path, header: header, plan: c.prompt()}
}

// begin sends the request. It has told of a leaving upstream and checked that
// the answer isn't another request's when it returns an answer.
func (k *call) begin(ctx context.Context) (*exchange.Answer, error) {
	if !strings.HasPrefix(k.path, "/") {
		return nil, unsent(k.target, fmt.Errorf("path %q doesn't begin with /", k.path))
	}
	if k.id != "" {
		k.header.Set(wire.HeaderRequestID, string(k.id))
	}
	answer, err := k.client.sender.Send(ctx, exchange.Request{
		Method: k.method,
		URL:    "http://" + k.target.Address + k.path,
		Header: k.header,
		Body:   k.body,
	}, k.plan)
	if err != nil {
		return nil, k.fromExchange(err)
	}
	if isLeaving(answer.Header) && k.client.options.OnLeaving != nil {
		k.client.options.OnLeaving(k.target.Name)
	}
	if err := k.checkEcho(answer); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// checkEcho fails when the header names another request. It comes before the
// status and X-Not-Run are believed: they would be the other request's too.
func (k *call) checkEcho(answer *exchange.Answer) error {
	echo := answer.Header.Get(wire.HeaderRequestID)
	if echo == "" || k.id == "" || echo == string(k.id) {
		return nil
	}
	return k.fail(Crossed, answer, fmt.Errorf("answer is for request %q, not %q", echo, k.id))
}

// whole reads a bounded JSON answer of status 200 into result.
func (k *call) whole(ctx context.Context, result any) (*exchange.Answer, error) {
	answer, err := k.begin(ctx)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return answer, k.refusal(answer)
	}
	return answer, k.decode(answer, result)
}

func (k *call) decode(answer *exchange.Answer, result any) error {
	data, err := answer.Whole(k.client.options.MaxBodyBytes)
	if err != nil {
		return k.fromAnswer(answer, err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return k.fail(Malformed, answer, err)
	}
	return nil
}

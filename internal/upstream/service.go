package upstream

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// connectionHeaders belong to one connection (RFC 9110, 7.6.1) or are net/http's
// to write. Authorization holds the caller's key for us, which no service may see.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Authorization",
}

// userAgent stands in for a missing User-Agent.
const userAgent = "dogwoodflow"

// Call forwards one call to a service. Every status is an answer; only a refusal
// that says X-Not-Run: true is an error.
func (c *Client) Call(ctx context.Context, t Target, r ServiceRequest) (*ServiceResponse, error) {
	k := &call{client: c, target: t, id: r.ID, method: r.Method, path: r.Path, body: r.Body}
	k.header = forwarded(r.Header)
	if k.header.Get("User-Agent") == "" {
		k.header.Set("User-Agent", userAgent)
	}
	k.plan = c.callPlan(r)
	answer, err := k.begin(ctx)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if saysNotRun(answer.Header) {
		return nil, k.refusal(answer)
	}
	return k.response(answer)
}

func (c *Client) callPlan(r ServiceRequest) exchange.Plan {
	plan := c.working()
	if r.NeverRetry {
		plan = c.once()
	}
	if r.FirstByteTimeout > 0 {
		plan.FirstByte = r.FirstByteTimeout
		plan.FirstByteReused = 0
	}
	return plan
}

func (k *call) response(answer *exchange.Answer) (*ServiceResponse, error) {
	body, err := answer.Whole(k.client.options.MaxBodyBytes)
	if err != nil {
		return nil, k.fromAnswer(answer, err)
	}
	return &ServiceResponse{
		Status:  answer.Status,
		Header:  forwarded(answer.Header),
		Body:    body,
		Leaving: isLeaving(answer.Header),
	}, nil
}

// forwarded copies what may pass from one connection to another.
func forwarded(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

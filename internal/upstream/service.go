package upstream

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// unforwardedHeaders are the headers that aren't forwarded: those that concern one connection
// (RFC 9110, 7.6.1), those that net/http writes itself, and Authorization, whose key is the
// caller's for this daemon and must not reach a service.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Authorization",
}

// defaultUserAgent is sent if the caller sent no User-Agent.
const defaultUserAgent = "dogwoodflow"

// Call forwards one call to a service. A response of any status is a result, except one with
// "X-Not-Run: true", which is an error.
func (c *Client) Call(ctx context.Context, t Target, r ServiceRequest) (*ServiceResponse, error) {
	k := &call{client: c, target: t, requestID: r.ID, method: r.Method, path: r.Path, body: r.Body}
	k.header = forwardableHeader(r.Header)
	if k.header.Get("User-Agent") == "" {
		k.header.Set("User-Agent", defaultUserAgent)
	}
	k.sendOptions = c.serviceOptions(r)
	resp, err := k.send(ctx)
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	if reportsNotRun(resp.Header) {
		return nil, k.statusError(resp)
	}
	return k.serviceResponse(resp)
}

// serviceOptions returns the options for a call of a service.
func (c *Client) serviceOptions(r ServiceRequest) exchange.SendOptions {
	opts := c.unboundedOptions()
	if r.NeverRetry {
		opts = c.nonRepeatableOptions()
	}
	if r.FirstByteTimeout > 0 {
		opts.HeaderTimeout = r.FirstByteTimeout
		opts.ReusedHeaderTimeout = 0
	}
	return opts
}

// serviceResponse reads the whole response of a service.
func (k *call) serviceResponse(resp *exchange.Response) (*ServiceResponse, error) {
	body, err := resp.ReadAll(k.client.options.MaxBodyBytes)
	if err != nil {
		return nil, k.responseError(resp, err)
	}
	return &ServiceResponse{
		Status:  resp.Status,
		Header:  forwardableHeader(resp.Header),
		Body:    body,
		Leaving: reportsLeaving(resp.Header),
	}, nil
}

// forwardableHeader returns a copy of a header without the fields that must not be forwarded
// to another connection.
func forwardableHeader(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	return out
}

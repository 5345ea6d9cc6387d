// Package adminclient is a client of a daemon's administration and trainer APIs for the
// command-line tool.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

const (
	callTimeout      = 45 * time.Second // longer than the longest wait of the API
	maxResponseBytes = 64 << 20
)

// ErrTooLarge is returned for a response longer than maxResponseBytes.
var ErrTooLarge = errors.New("response too large")

// Client calls one port of one daemon.
type Client struct {
	base  string // URL without a trailing slash
	token string // bearer token
	http  *http.Client
}

// New returns a client for a base URL such as http://127.0.0.1:8082. If caFile isn't empty, it
// names a PEM file with the certificate authorities to trust instead of the system's.
func New(base, token, caFile string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("%q is not a base URL such as http://127.0.0.1:8082", base)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // the token must reach nobody but the daemon
	if caFile != "" {
		pool, err := readAuthorities(caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	return &Client{
		base: strings.TrimRight(base, "/"), token: token,
		http: &http.Client{Timeout: callTimeout, Transport: transport, CheckRedirect: noRedirect},
	}, nil
}

// Base returns the base URL that the client calls.
func (c *Client) Base() string { return c.base }

// noRedirect makes the client return redirects as responses instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func readAuthorities(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("--ca-file: %s holds no PEM certificate", file)
	}
	return pool, nil
}

// Call sends a request, with in as its JSON body if in isn't nil, and decodes the response into
// out if out isn't nil. The error is an *Error if the daemon answered with an error status, and
// a *TransportError if there was no complete response.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return &TransportError{Base: c.base, Outcome: transportOutcome(method, err), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return &TransportError{Base: c.base, Outcome: transportOutcome(method, err), Err: err}
	}
	return decodeResponse(res, data, out)
}

// transportOutcome returns the outcome of a request without a complete response. It is NotRun
// for a read, and for a request for which no connection could be opened.
func transportOutcome(method string, err error) outcome.Outcome {
	var opErr *net.OpError
	var certErr *tls.CertificateVerificationError
	if method == http.MethodGet || errors.As(err, &certErr) || (errors.As(err, &opErr) && opErr.Op == "dial") {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// decodeResponse decodes the body of a response into out if out isn't nil, or returns an *Error
// for an error status.
func decodeResponse(res *http.Response, data []byte, out any) error {
	if res.StatusCode >= http.StatusMultipleChoices {
		return problemError(res, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode the response (is this the right port of a daemon?): %w", err)
	}
	return nil
}

// problemError returns the problem document in a response, or one made from the response's
// status if there is none.
func problemError(res *http.Response, data []byte) error {
	p := httpapi.Problem{Status: res.StatusCode, Title: http.StatusText(res.StatusCode)}
	if json.Unmarshal(data, &p) != nil { // not a problem document: report the status
		p.Detail = "the response is not a problem document; are the URL's scheme (http or https) and port those of a daemon?"
	}
	p.Status = res.StatusCode
	if res.Request.Method == http.MethodGet {
		return &Error{Problem: p, Outcome: outcome.NotRun}
	}
	return &Error{Problem: p, Outcome: p.Outcome}
}

// Package adminclient speaks the daemon's administration and trainer APIs, for
// the command-line tool.
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
	callTimeout    = 45 * time.Second // above the longest wait of the API
	maxResponseBytes = 64 << 20
)

// ErrTooLarge says that an answer is longer than this client reads.
var ErrTooLarge = errors.New("the answer is too large")

// Client calls one port of one daemon.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client for a base URL such as http://127.0.0.1:8082. caFile, if
// not empty, names a PEM file with the authorities to trust instead of the
// system's.
func New(base, token, caFile string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("%q is no base URL, as in http://127.0.0.1:8082", base)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // the token goes to the daemon and nobody else
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

// Base is the URL that the client calls.
func (c *Client) Base() string { return c.base }

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

// Call sends a request with a JSON body, if in isn't nil, and decodes the answer
// into out, if it isn't nil. Errors: *Error for a problem document,
// *TransportError when there was no whole answer.
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

// transportOutcome says whether a request without a whole answer may have changed
// something: one that reads can't have, nor one that found no connection.
func transportOutcome(method string, err error) outcome.Outcome {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	if method == http.MethodGet || errors.As(err, &certificate) || (errors.As(err, &op) && op.Op == "dial") {
		return outcome.NotRun
	}
	return outcome.Unknown
}

func decodeResponse(res *http.Response, data []byte, out any) error {
	if res.StatusCode >= http.StatusMultipleChoices {
		return problemError(res, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode the answer (is the URL's port the right one of a daemon?): %w", err)
	}
	return nil
}

func problemError(res *http.Response, data []byte) error {
	p := httpapi.Problem{Status: res.StatusCode, Title: http.StatusText(res.StatusCode)}
	if json.Unmarshal(data, &p) != nil { // not a problem document: the status stands
		p.Detail = "the answer is no problem document; are the URL's scheme (http or https) and port those of a daemon?"
	}
	p.Status = res.StatusCode
	if res.Request.Method == http.MethodGet {
		return &Error{Problem: p, Outcome: outcome.NotRun}
	}
	return &Error{Problem: p, Outcome: p.Outcome}
}

// Package adminclient speaks the daemon's administration and trainer APIs, for
// the command-line tool.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
)

const (
	callTimeout    = 45 * time.Second // above the longest wait of the API
	maxAnswerBytes = 64 << 20
)

// Error is a problem document that a daemon answered.
type Error struct{ Problem httpapi.Problem }

// Error describes the problem in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", e.Problem.Status, e.Problem.Title)
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (come back in %d s)", e.Problem.RetryAfter)
	}
	return text
}

// Client calls one daemon.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client for a base URL such as http://127.0.0.1:8082.
func New(base, token string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("%q is no base URL, as in http://127.0.0.1:8082", base)
	}
	return &Client{base: strings.TrimRight(base, "/"), token: token, http: &http.Client{Timeout: callTimeout}}, nil
}

// Call sends a request with a JSON body, if in isn't nil, and decodes the answer
// into out, if it isn't nil. A problem document comes back as *Error.
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
		return fmt.Errorf("call the daemon: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	return decode(res, out)
}

func decode(res *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return problemIn(res, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}

func problemIn(res *http.Response, data []byte) error {
	p := httpapi.Problem{Status: res.StatusCode, Title: http.StatusText(res.StatusCode)}
	_ = json.Unmarshal(data, &p) // not a problem document: status and title stand
	return &Error{Problem: p}
}

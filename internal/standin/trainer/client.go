package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/balance"
)

// Errors of the client.
var (
	// ErrUnknownStep says that the step must be submitted again.
	ErrUnknownStep = errors.New("trainer: step unknown")
	// ErrCut says that an answer didn't come in whole and was dropped.
	ErrCut = errors.New("trainer: answer cut")
)

// StatusError is an answer with a status other than 2xx and 404.
type StatusError struct {
	Status     int
	RetryAfter time.Duration
	Body       string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("trainer: status %d: %s", e.Status, e.Body) }

// Final says that coming back doesn't help: the request itself is at fault.
func (e *StatusError) Final() bool {
	return e.Status/100 == 4 && e.Status != http.StatusTooManyRequests && e.Status != http.StatusRequestTimeout
}

// Client speaks the trainer's API. Each call opens its own connection, so that
// an answer can only belong to the call that it is read by. It stays with the
// daemon that answered last, which holds the step or knows who does, until a
// call to it fails. Not safe for concurrent use.
type Client struct {
	balancer *balance.Balancer
	key      string
	http     *http.Client
	home     string // the daemon that answered last; empty: ask the balancer
	cuts     cutter
}

// NewClient returns a client of the daemons behind a balancer.
func NewClient(balancer *balance.Balancer, key string) *Client {
	return &Client{
		balancer: balancer,
		key:      key,
		http:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

const (
	// callTime bounds a call besides the time that it may wait.
	callTime = 5 * time.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 256 << 20
)

// Submit submits a step.
func (c *Client) Submit(ctx context.Context, job string, step int, request rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
	var response rollouts.SubmitResponse
	err := c.call(ctx, http.MethodPut, stepPath(job, step), request, &response, callTime)
	return response, err
}

// Pull asks for groups. An answer without its end is dropped with ErrCut.
func (c *Client) Pull(ctx context.Context, job string, step int, request rollouts.PullRequest) (rollouts.PullResponse, error) {
	var response rollouts.PullResponse
	limit := callTime + time.Duration(request.WaitMillis)*time.Millisecond
	if err := c.call(ctx, http.MethodPost, stepPath(job, step)+"/pull", request, &response, limit); err != nil {
		return rollouts.PullResponse{}, err
	}
	if !response.End {
		return rollouts.PullResponse{}, fmt.Errorf("%w: no end mark", ErrCut)
	}
	return response, nil
}

func stepPath(job string, step int) string {
	return "/v1/jobs/" + url.PathEscape(job) + "/steps/" + strconv.Itoa(step)
}

// call sends one request to the client's daemon and reads the whole answer.
func (c *Client) call(ctx context.Context, method, path string, request, into any, limit time.Duration) error {
	daemon, err := c.daemon()
	if err != nil {
		return err
	}
	err = c.callAt(ctx, daemon, method, path, request, into, limit)
	if err == nil || errors.Is(err, ErrUnknownStep) {
		c.home = daemon
	} else {
		c.home = ""
	}
	return err
}

func (c *Client) daemon() (string, error) {
	if c.home != "" {
		return c.home, nil
	}
	return c.balancer.Next()
}

func (c *Client) callAt(ctx context.Context, daemon, method, path string, request, into any, limit time.Duration) error {
	raw, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("trainer: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, method, daemon+path, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("trainer: %w", err)
	}
	call.Header.Set("Authorization", "Bearer "+c.key)
	call.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(call)
	if err != nil {
		c.balancer.MarkDown(daemon)
		return fmt.Errorf("trainer: %w", err)
	}
	defer response.Body.Close()
	if c.cuts.due(response) {
		return cutHere(response)
	}
	return read(response, into)
}

func read(response *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrUnknownStep, body)
	case response.StatusCode/100 != 2:
		return &StatusError{Status: response.StatusCode, RetryAfter: retryAfter(response), Body: string(body)}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

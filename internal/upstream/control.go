package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Score asks a scorer for the reward of a completion.
func (c *Client) Score(ctx context.Context, t Target, id ident.RequestID, prompt, completion string) (float64, error) {
	k, err := c.newJSONCall(t, id, "/score", wire.ScoreRequest{Prompt: prompt, Completion: completion})
	if err != nil {
		return 0, err
	}
	k.sendOptions = c.queuedOptions()
	var result struct {
		ID     string   `json:"id"`
		Reward *float64 `json:"reward"`
	}
	resp, err := k.sendForJSON(ctx, &result)
	if err != nil {
		return 0, err
	}
	if result.ID != string(id) {
		return 0, k.responseFault(Crossed, resp, &crossedError{got: result.ID, want: string(id)})
	}
	if result.Reward == nil {
		return 0, k.responseFault(Malformed, resp, errors.New("response has no reward"))
	}
	return *result.Reward, nil
}

// Load queries the load of an upstream of any kind. Leaving is set if the body or the header
// of the response says so.
func (c *Client) Load(ctx context.Context, t Target) (wire.LoadReport, error) {
	var report wire.LoadReport
	resp, err := c.newGetCall(t, "/load").sendForJSON(ctx, &report)
	if err != nil {
		return wire.LoadReport{}, err
	}
	report.Leaving = report.Leaving || reportsLeaving(resp.Header)
	return report, nil
}

// CacheEvents queries the prefixes that were added to an engine's prefix cache or evicted
// from it, starting with the event of sequence number from.
func (c *Client) CacheEvents(ctx context.Context, t Target, from int64) (wire.CacheEventPage, error) {
	var page wire.CacheEventPage
	path := "/cache-events?from=" + strconv.FormatInt(from, 10)
	if _, err := c.newGetCall(t, path).sendForJSON(ctx, &page); err != nil {
		return wire.CacheEventPage{}, err
	}
	return page, nil
}

// Order sends an order to an engine. If its fencing number is below the highest that the
// engine has seen, the error is Rejected and the engine's result is returned too. Loading a
// version may take long, so only the context limits the wait. The order is sent over a new
// connection, since it must not run twice.
func (c *Client) Order(ctx context.Context, t Target, order wire.Order) (wire.OrderResult, error) {
	k, err := c.newJSONCall(t, "", "/orders", order)
	if err != nil {
		return wire.OrderResult{}, err
	}
	k.sendOptions = c.nonRepeatableOptions()
	resp, err := k.send(ctx)
	if err != nil {
		return wire.OrderResult{}, err
	}
	defer resp.Close()
	return k.readOrderResult(resp)
}

// readOrderResult converts the response to an order.
func (k *call) readOrderResult(resp *exchange.Response) (wire.OrderResult, error) {
	var result wire.OrderResult
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return result, k.statusError(resp)
	}
	if err := k.decodeBody(resp, &result); err != nil {
		return wire.OrderResult{}, err
	}
	if resp.Status == http.StatusOK {
		return result, nil
	}
	e := k.responseFault(Rejected, resp, fmt.Errorf("fencing number is below %d: %s", result.HighestFence, result.Error))
	e.Outcome = outcome.NotRun
	return result, e
}

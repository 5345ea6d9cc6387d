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
	k, err := c.json(t, id, "/score", wire.ScoreRequest{Prompt: prompt, Completion: completion})
	if err != nil {
		return 0, err
	}
	k.plan = c.waiting()
	var result struct {
		ID     string   `json:"id"`
		Reward *float64 `json:"reward"`
	}
	answer, err := k.whole(ctx, &result)
	if err != nil {
		return 0, err
	}
	if result.ID != string(id) {
		return 0, k.fail(Crossed, answer, &crossedError{got: result.ID, want: string(id)})
	}
	if result.Reward == nil {
		return 0, k.fail(Malformed, answer, errors.New("no reward"))
	}
	return *result.Reward, nil
}

// Load asks any upstream for its load. Leaving is also set by the answer's header.
func (c *Client) Load(ctx context.Context, t Target) (wire.LoadReport, error) {
	var report wire.LoadReport
	answer, err := c.get(t, "/load").whole(ctx, &report)
	if err != nil {
		return wire.LoadReport{}, err
	}
	report.Leaving = report.Leaving || isLeaving(answer.Header)
	return report, nil
}

// CacheEvents asks an engine for what entered or left its prefix cache since from.
func (c *Client) CacheEvents(ctx context.Context, t Target, from int64) (wire.CacheEventPage, error) {
	var page wire.CacheEventPage
	path := "/cache-events?from=" + strconv.FormatInt(from, 10)
	if _, err := c.get(t, path).whole(ctx, &page); err != nil {
		return wire.CacheEventPage{}, err
	}
	return page, nil
}

// Order gives an engine an order. A fence below the engine's highest is Rejected,
// with the engine's result. Loading may take long, so only the context ends the
// wait; the connection is a new one, since an order may not be given twice.
func (c *Client) Order(ctx context.Context, t Target, order wire.Order) (wire.OrderResult, error) {
	k, err := c.json(t, "", "/orders", order)
	if err != nil {
		return wire.OrderResult{}, err
	}
	k.plan = c.once()
	answer, err := k.begin(ctx)
	if err != nil {
		return wire.OrderResult{}, err
	}
	defer answer.Close()
	return k.orderResult(answer)
}

func (k *call) orderResult(answer *exchange.Answer) (wire.OrderResult, error) {
	var result wire.OrderResult
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return result, k.refusal(answer)
	}
	if err := k.decode(answer, &result); err != nil {
		return wire.OrderResult{}, err
	}
	if answer.Status == http.StatusOK {
		return result, nil
	}
	e := k.fail(Rejected, answer, fmt.Errorf("fence is below %d: %s", result.HighestFence, result.Error))
	e.Outcome = outcome.NotRun
	return result, e
}

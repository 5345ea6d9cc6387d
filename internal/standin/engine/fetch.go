package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// fetchTime bounds one fetch of weights, its retries included.
	fetchTime = 20 * time.Second
	// fetchTries bounds how often a fetch comes back to a store that is busy.
	fetchTries = 5
)

// fetch reads a version from the weight store.
func (e *Engine) fetch(ctx context.Context, model string, version int64) error {
	if e.options.WeightStore == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	address := fmt.Sprintf("%s/v1/models/%s/versions/%d/fetch", e.options.WeightStore, url.PathEscape(model), version)
	for range fetchTries {
		wait, err := fetchOnce(ctx, address)
		if err != nil || wait == 0 {
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return fmt.Errorf("weight store: %w", ctx.Err())
		}
	}
	return fmt.Errorf("weight store: busy after %d tries", fetchTries)
}

// fetchOnce returns how long to wait before the next try, 0 when all is here.
func fetchOnce(ctx context.Context, address string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, fmt.Errorf("weight store: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("weight store: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, fmt.Errorf("weight store: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return retryAfter(response), nil
	default:
		return 0, fmt.Errorf("weight store: %s", response.Status)
	}
}

func retryAfter(response *http.Response) time.Duration {
	const usual = 100 * time.Millisecond
	millis, err := strconv.Atoi(response.Header.Get("Retry-After-Ms"))
	if err != nil || millis <= 0 {
		return usual
	}
	return time.Duration(millis) * time.Millisecond
}

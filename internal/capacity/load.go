package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callers sends work to the daemon's caller port.
type callers struct {
	url    string
	client *http.Client
	done   atomic.Int64 // answers 200
	failed atomic.Int64
	serial atomic.Int64
}

func newCallers(o Options) *callers {
	return &callers{
		url:    o.url(portCaller),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

// completion asks for an answer of so many tokens with a pause between two.
func (c *callers) completion(ctx context.Context, tokens int, gap time.Duration, stream bool) {
	raw, _ := json.Marshal(map[string]any{ // plain values
		"model": model, "prompt": pausePrompt(gap, int(c.serial.Add(1))), "max_tokens": tokens, "stream": stream,
	})
	c.post(ctx, "/v1/completions", raw, "")
}

// booking calls the service, at most once under a key of its own.
func (c *callers) booking(ctx context.Context) {
	c.post(ctx, "/booking", []byte(`{"room":1}`), fmt.Sprintf("key-%d-%d", time.Now().UnixNano(), c.serial.Add(1)))
}

func (c *callers) post(ctx context.Context, path string, body []byte, key string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		c.failed.Add(1)
		return
	}
	request.Header.Set("Authorization", "Bearer "+secretKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.countFailure(ctx)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		c.countFailure(ctx)
		return
	}
	c.done.Add(1)
}

// countFailure leaves out what the end of a window cut off.
func (c *callers) countFailure(ctx context.Context) {
	if ctx.Err() == nil {
		c.failed.Add(1)
	}
}

// atRate calls do so many times a second until the context ends, and waits for
// what it began.
func atRate(ctx context.Context, perSecond float64, do func(context.Context)) {
	var running sync.WaitGroup
	defer running.Wait()
	began, started := time.Now(), 0
	for pause(ctx, 5*time.Millisecond) {
		due := int(time.Since(began).Seconds() * perSecond)
		for ; started < due; started++ {
			running.Go(func() { do(ctx) })
		}
	}
}

// keepBusy runs so many calls at a time until the context ends.
func keepBusy(ctx context.Context, workers int, do func(context.Context)) {
	var running sync.WaitGroup
	defer running.Wait()
	for range workers {
		running.Go(func() {
			for ctx.Err() == nil {
				do(ctx)
			}
		})
	}
}

package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// poisonPrompt is what crashes an engine.
const poisonPrompt = "poison-pill"

// crashedEngine is the one that crashes in mid-step.
const crashedEngine = 2

// oneShot never reuses a connection: what it calls may have been restarted.
var oneShot = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// startBackground starts what goes on beside the load.
func (d *drive) startBackground(ctx context.Context) {
	s := d.world.Scenario
	if s.PublishEvery > 0 {
		go d.publish(ctx, s.PublishEvery)
	}
	if s.PoisonEvery > 0 {
		for n := range s.Fleet.Times {
			go d.keepArmed(ctx, d.world.EngineURL(n+1))
		}
		go d.sendPoison(ctx, s.PoisonEvery)
	}
}

// publish plays another trainer of the model.
func (d *drive) publish(ctx context.Context, every time.Duration) {
	for version := int64(2); pause.For(ctx, every); version++ {
		url := d.world.WeightsURL() + "/v1/models/" + modelName + "/versions"
		if _, err := send(ctx, http.MethodPost, url, "", wire.PublishVersion{Version: version}); err != nil {
			d.fault("publish: %v", err)
		}
	}
}

// crashOnce returns a progress function that crashes an engine when the last
// step has reached CrashAt.
func (d *drive) crashOnce(ctx context.Context) func(step, samples, wanted int) {
	var once sync.Once
	s := d.world.Scenario
	return func(step, samples, wanted int) {
		if step < s.Trainer.Steps || float64(samples) < s.CrashAt*float64(wanted) {
			return
		}
		once.Do(func() { d.crash(ctx, crashedEngine) })
	}
}

// crash ends an engine's process by its next request, the one that asks for it.
func (d *drive) crash(ctx context.Context, n int) {
	url := d.world.EngineURL(n)
	if _, err := send(ctx, http.MethodPost, url+fault.Path, "", fault.Spec{Kind: fault.Crash}); err != nil {
		d.fault("crash: %v", err)
		return
	}
	_, _ = send(ctx, http.MethodGet, url+"/load", "", nil) // it dies of this
}

// keepArmed has an engine die of the poison request, also after its restart.
func (d *drive) keepArmed(ctx context.Context, url string) {
	const look = 100 * time.Millisecond
	spec := fault.Spec{Kind: fault.Crash, Match: poisonPrompt}
	armed := false
	for {
		raw, err := send(ctx, http.MethodGet, url+fault.Path, "", nil)
		if err == nil && !bytes.Contains(raw, []byte(poisonPrompt)) {
			if armed {
				d.engineDied()
			}
			_, err = send(ctx, http.MethodPost, url+fault.Path, "", spec)
			armed = armed || err == nil
		}
		if !pause.For(ctx, look) {
			return
		}
	}
}

// sendPoison plays a caller whose request crashes engines, and who sends it
// again whatever became of it.
func (d *drive) sendPoison(ctx context.Context, every time.Duration) {
	request := wire.GenerateRequest{Model: modelName, Prompt: poisonPrompt, MaxTokens: 16, Seed: 1, Stream: true}
	key := keyOf(d.world.Scenario.Fleet.Team.Name, config.RoleCaller)
	for n := 0; pause.For(ctx, every); n++ {
		url := d.world.CallerURL(1+n%d.world.Scenario.Fleet.Daemons) + "/v1/completions"
		go func() { _, _ = send(ctx, http.MethodPost, url, key, request) }()
	}
}

func (d *drive) engineDied() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deaths++
}

func (d *drive) fault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errs = append(d.errs, fmt.Sprintf(format, args...))
}

// send sends one request with a JSON body (nil: none) and reads its answer.
func send(ctx context.Context, method, url, key string, body any) ([]byte, error) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := oneShot.Do(request)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("bench: %s %s: %s", method, url, response.Status)
	}
	return raw, err
}

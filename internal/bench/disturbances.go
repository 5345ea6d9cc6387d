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

// poisonPrompt is the prompt of the request that crashes engines.
const poisonPrompt = "poison-pill"

// crashedEngine is the number of the engine that crashes during the last step.
const crashedEngine = 2

// noReuseClient never reuses a connection, since the called process may have been restarted.
var noReuseClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// startDisturbances starts the scenario's disturbances that run beside the load: new weight
// versions and poison requests.
func (d *driver) startDisturbances(ctx context.Context) {
	s := d.deployment.Scenario
	if s.PublishInterval > 0 {
		go d.publishVersions(ctx, s.PublishInterval)
	}
	if s.PoisonInterval > 0 {
		for n := range s.Fleet.RelativeTokenTimes {
			go d.maintainPoisonFault(ctx, d.deployment.EngineURL(n+1))
		}
		go d.sendPoisonRequests(ctx, s.PoisonInterval)
	}
}

// publishVersions publishes weight versions at an interval, like another trainer of the model.
func (d *driver) publishVersions(ctx context.Context, interval time.Duration) {
	for version := int64(2); pause.For(ctx, interval); version++ {
		url := d.deployment.WeightsURL() + "/v1/models/" + modelName + "/versions"
		if _, err := send(ctx, http.MethodPost, url, "", wire.PublishVersion{Version: version}); err != nil {
			d.addFault("publish: %v", err)
		}
	}
}

// crashAtProgress returns a progress function that crashes an engine once Scenario.CrashShare of
// the last step's samples have been delivered.
func (d *driver) crashAtProgress(ctx context.Context) func(step, samples, wanted int) {
	var once sync.Once
	s := d.deployment.Scenario
	return func(step, samples, wanted int) {
		if step < s.Trainer.Steps || float64(samples) < s.CrashShare*float64(wanted) {
			return
		}
		once.Do(func() { d.crashEngine(ctx, crashedEngine) })
	}
}

// crashEngine makes engine n crash on its next request, and sends that request.
func (d *driver) crashEngine(ctx context.Context, n int) {
	url := d.deployment.EngineURL(n)
	if _, err := send(ctx, http.MethodPost, url+fault.Path, "", fault.Spec{Kind: fault.Crash}); err != nil {
		d.addFault("crash: %v", err)
		return
	}
	_, _ = send(ctx, http.MethodGet, url+"/load", "", nil) // the request on which the engine crashes
}

// maintainPoisonFault makes an engine crash on the poison request. After each restart of the
// engine, which loses this setting, it counts the crash and sets it again.
func (d *driver) maintainPoisonFault(ctx context.Context, url string) {
	const checkInterval = 100 * time.Millisecond
	spec := fault.Spec{Kind: fault.Crash, Match: poisonPrompt}
	wasSet := false
	for {
		raw, err := send(ctx, http.MethodGet, url+fault.Path, "", nil)
		if err == nil && !bytes.Contains(raw, []byte(poisonPrompt)) {
			if wasSet {
				d.countEngineDeath()
			}
			_, err = send(ctx, http.MethodPost, url+fault.Path, "", spec)
			wasSet = wasSet || err == nil
		}
		if !pause.For(ctx, checkInterval) {
			return
		}
	}
}

// sendPoisonRequests sends the poison request at an interval, regardless of the results.
func (d *driver) sendPoisonRequests(ctx context.Context, interval time.Duration) {
	request := wire.GenerateRequest{Model: modelName, Prompt: poisonPrompt, MaxTokens: 16, Seed: 1, Stream: true}
	key := apiKey(d.deployment.Scenario.Fleet.Team.Name, config.RoleCaller)
	for n := 0; pause.For(ctx, interval); n++ {
		url := d.deployment.CallerURL(1+n%d.deployment.Scenario.Fleet.Daemons) + "/v1/completions"
		go func() { _, _ = send(ctx, http.MethodPost, url, key, request) }()
	}
}

func (d *driver) countEngineDeath() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engineDeaths++
}

// addFault records an event that must not happen in any run.
func (d *driver) addFault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

// send sends one request with a JSON body, nil: none, and returns the body of the response. A
// status other than 2xx is an error. key is a bearer token, "": none.
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
	response, err := noReuseClient.Do(request)
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

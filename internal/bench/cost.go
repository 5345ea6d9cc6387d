package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// costScenario has one daemon and one engine. It measures the overhead of the daemon itself.
func costScenario() Scenario {
	fleet := koperasiFleet([]float64{1})
	fleet.Daemons, fleet.Services = 1, 0
	fleet.DataCentres = fleet.DataCentres[:1]
	fleet.Engine = Engine{TokenTime: time.Millisecond, PrefixCapacity: 64, LoadLag: 500 * time.Millisecond}
	return Scenario{
		Name:        "cost",
		Description: "calls alternately through a daemon and directly to the engine; CPU time with 16 concurrent callers",
		Fleet:       fleet,
		Measures:    []string{"direct_ttft_p50", "ttft_p50", "overhead_p50", "cpu_request", "cpu_chunk"},
	}
}

const (
	firstTokenCalls = 200 // calls to the daemon, and as many to the engine, that measure the time to the first token
	// shortCompletionTokens and longCompletionTokens are the two completion lengths whose CPU
	// times give the cost per request and per chunk.
	shortCompletionTokens, longCompletionTokens = 1, 101
	// costCallers concurrent callers send callsPerCaller calls each while CPU time is measured.
	costCallers, callsPerCaller = 16, 25
)

// MeasureCost measures the overhead of the daemon in the cost scenario. pid is the daemon's
// process ID.
func (d Deployment) MeasureCost(ctx context.Context, seed uint64, pid int) (Run, error) {
	if !pause.For(ctx, settleTime) {
		return Run{}, ctx.Err()
	}
	c := &costMeasurer{deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: costCallers}}}
	defer c.client.CloseIdleConnections()
	direct, viaDaemon, err := c.firstTokenTimes(ctx)
	if err != nil {
		return Run{}, err
	}
	shortMicros, shortChunks, err := c.cpuTime(ctx, pid, shortCompletionTokens)
	if err != nil {
		return Run{}, err
	}
	longMicros, longChunks, err := c.cpuTime(ctx, pid, longCompletionTokens)
	if err != nil {
		return Run{}, err
	}
	microsPerChunk := (longMicros - shortMicros) / max(1, longChunks-shortChunks)
	medianMillis := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(50)) / 1000 }
	return Run{Scenario: d.Scenario.Name, Policy: d.Policy, Seed: seed, Values: map[string]float64{
		"direct_ttft_p50": medianMillis(direct),
		"ttft_p50":        medianMillis(viaDaemon),
		"overhead_p50":    medianMillis(viaDaemon) - medianMillis(direct),
		"cpu_chunk":       microsPerChunk,
		"cpu_request":     shortMicros - microsPerChunk*shortChunks,
	}}, nil
}

// costMeasurer sends the calls of the cost scenario.
type costMeasurer struct {
	deployment  Deployment
	client      *http.Client
	lastRequest atomic.Int64 // number of the last request, which is its ID too
}

// firstTokenTimes calls the engine and the daemon alternately and returns the times to the first
// token, in µs.
func (c *costMeasurer) firstTokenTimes(ctx context.Context) (direct, viaDaemon *hdrhistogram.Histogram, err error) {
	const maxMicros, digits = 10_000_000, 3
	direct, viaDaemon = hdrhistogram.New(1, maxMicros, digits), hdrhistogram.New(1, maxMicros, digits)
	for range firstTokenCalls {
		for _, target := range []struct {
			url       string
			histogram *hdrhistogram.Histogram
		}{{c.deployment.EngineURL(1), direct}, {c.deployment.CallerURL(1), viaDaemon}} {
			first, _, err := c.streamCompletion(ctx, target.url, shortCompletionTokens)
			if err != nil {
				return nil, nil, err
			}
			_ = target.histogram.RecordValue(first.Microseconds())
		}
	}
	return direct, viaDaemon, nil
}

// cpuTime sends concurrent requests for completions of a length in tokens. It returns the
// daemon's CPU time in µs and the number of chunks, both per request.
func (c *costMeasurer) cpuTime(ctx context.Context, pid, tokens int) (micros, chunks float64, err error) {
	ticksBefore, err := cpuTicks(pid)
	if err != nil {
		return 0, 0, err
	}
	totalChunks, err := c.streamConcurrently(ctx, tokens)
	if err != nil {
		return 0, 0, err
	}
	ticksAfter, err := cpuTicks(pid)
	if err != nil {
		return 0, 0, err
	}
	const calls = costCallers * callsPerCaller
	return (ticksAfter - ticksBefore) * microsPerTick / calls, float64(totalChunks) / calls, nil
}

// streamConcurrently runs costCallers concurrent callers and returns the number of their chunks.
func (c *costMeasurer) streamConcurrently(ctx context.Context, tokens int) (chunks int, err error) {
	var total atomic.Int64
	errs := make(chan error, costCallers)
	for range costCallers {
		go func() {
			for range callsPerCaller {
				_, n, err := c.streamCompletion(ctx, c.deployment.CallerURL(1), tokens)
				if err != nil {
					errs <- err
					return
				}
				total.Add(int64(n))
			}
			errs <- nil
		}()
	}
	for range costCallers {
		err = errors.Join(err, <-errs)
	}
	return int(total.Load()), err
}

// streamCompletion requests a completion of a length in tokens. It returns the time to the first
// token and the number of chunks.
func (c *costMeasurer) streamCompletion(ctx context.Context, url string, tokens int) (time.Duration, int, error) {
	number := c.lastRequest.Add(1)
	raw, err := json.Marshal(wire.GenerateRequest{
		Model: modelName, Prompt: fmt.Sprintf("cost %d", number), MaxTokens: tokens, Seed: 1, Stream: true,
	})
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	startedAt := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.HeaderRequestID, strconv.FormatInt(number, 10))
	request.Header.Set("Authorization", "Bearer "+apiKey(c.deployment.Scenario.Fleet.Team.Name, config.RoleCaller))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return 0, 0, fmt.Errorf("bench: %s: %s %s", url, response.Status, body)
	}
	return readChunks(response.Body, startedAt)
}

var errTruncated = errors.New("bench: stream ended without its end marker")

// readChunks reads a stream to its end marker. It returns the time from startedAt to the first
// chunk and the number of chunks.
func readChunks(body io.Reader, startedAt time.Time) (firstChunk time.Duration, chunks int, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		if strings.TrimSpace(data) == wire.StreamEnd {
			return firstChunk, chunks, nil
		}
		if chunks == 0 {
			firstChunk = time.Since(startedAt)
		}
		chunks++
	}
	return firstChunk, chunks, errTruncated
}

// microsPerTick is the clock tick, the unit of times in /proc/PID/stat, for Linux's USER_HZ of
// 100.
const microsPerTick = 10_000

// cpuTicks returns the user and system time of a process, in clock ticks.
func cpuTicks(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("bench: %w", err)
	}
	_, afterName, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(afterName)
	const userField, systemField = 11, 12 // index among the fields after the process name, counted from 0
	if len(fields) <= systemField {
		return 0, fmt.Errorf("bench: /proc/%d/stat has too few fields", pid)
	}
	user, errUser := strconv.ParseFloat(fields[userField], 64)
	system, errSystem := strconv.ParseFloat(fields[systemField], 64)
	return user + system, errors.Join(errUser, errSystem)
}

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

// costScenario is one daemon before one engine: what the daemon itself costs.
func costScenario() Scenario {
	fleet := koperasi([]float64{1})
	fleet.Daemons, fleet.Services = 1, 0
	fleet.DataCentres = fleet.DataCentres[:1]
	fleet.Engine = Engine{TokenTime: time.Millisecond, PrefixCapacity: 64, LoadLag: 500 * time.Millisecond}
	return Scenario{
		Name:     "cost",
		Story:    "calls through a daemon and by turns directly to the engine; processor time with 16 callers at once",
		Fleet:    fleet,
		Measures: []string{"direct_ttft_p50", "ttft_p50", "overhead_p50", "cpu_request", "cpu_chunk"},
	}
}

const (
	costCalls = 200
	// shortAnswer and longAnswer, in tokens, give the slopes of processor time.
	shortAnswer, longAnswer   = 1, 101
	costWorkers, callsAWorker = 16, 25
)

// DriveCost measures the daemon's own cost; pid is its process.
func (w World) DriveCost(ctx context.Context, seed uint64, pid int) (Run, error) {
	if !pause.For(ctx, settle) {
		return Run{}, ctx.Err()
	}
	c := &coster{world: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: costWorkers}}}
	defer c.client.CloseIdleConnections()
	direct, through, err := c.firstTokens(ctx)
	if err != nil {
		return Run{}, err
	}
	short, shortChunks, err := c.processorTime(ctx, pid, shortAnswer)
	if err != nil {
		return Run{}, err
	}
	long, longChunks, err := c.processorTime(ctx, pid, longAnswer)
	if err != nil {
		return Run{}, err
	}
	chunk := (long - short) / max(1, longChunks-shortChunks)
	millis := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(50)) / 1000 }
	return Run{Scenario: w.Scenario.Name, Policy: w.Policy, Seed: seed, Values: map[string]float64{
		"direct_ttft_p50": millis(direct),
		"ttft_p50":        millis(through),
		"overhead_p50":    millis(through) - millis(direct),
		"cpu_chunk":       chunk,
		"cpu_request":     short - chunk*shortChunks,
	}}, nil
}

type coster struct {
	world  World
	client *http.Client
	number atomic.Int64
}

// firstTokens calls the engine and the daemon by turns.
func (c *coster) firstTokens(ctx context.Context) (direct, through *hdrhistogram.Histogram, err error) {
	const most, digits = 10_000_000, 3 // µs
	direct, through = hdrhistogram.New(1, most, digits), hdrhistogram.New(1, most, digits)
	for range costCalls {
		for _, side := range []struct {
			url string
			h   *hdrhistogram.Histogram
		}{{c.world.EngineURL(1), direct}, {c.world.CallerURL(1), through}} {
			first, _, err := c.stream(ctx, side.url, shortAnswer)
			if err != nil {
				return nil, nil, err
			}
			_ = side.h.RecordValue(first.Microseconds())
		}
	}
	return direct, through, nil
}

// processorTime returns the daemon's processor time and chunks a request, in µs.
func (c *coster) processorTime(ctx context.Context, pid, tokens int) (micros, chunks float64, err error) {
	before, err := ticksOf(pid)
	if err != nil {
		return 0, 0, err
	}
	total, err := c.manyStreams(ctx, tokens)
	if err != nil {
		return 0, 0, err
	}
	after, err := ticksOf(pid)
	if err != nil {
		return 0, 0, err
	}
	const calls = costWorkers * callsAWorker
	return (after - before) * microsPerTick / calls, float64(total) / calls, nil
}

// manyStreams runs costWorkers callers side by side and counts their chunks.
func (c *coster) manyStreams(ctx context.Context, tokens int) (chunks int, err error) {
	var total atomic.Int64
	failed := make(chan error, costWorkers)
	for range costWorkers {
		go func() {
			for range callsAWorker {
				_, n, err := c.stream(ctx, c.world.CallerURL(1), tokens)
				if err != nil {
					failed <- err
					return
				}
				total.Add(int64(n))
			}
			failed <- nil
		}()
	}
	for range costWorkers {
		err = errors.Join(err, <-failed)
	}
	return int(total.Load()), err
}

// stream returns the time to the first token and the number of chunks.
func (c *coster) stream(ctx context.Context, url string, tokens int) (time.Duration, int, error) {
	number := c.number.Add(1)
	raw, err := json.Marshal(wire.GenerateRequest{
		Model: modelName, Prompt: fmt.Sprintf("cost %d", number), MaxTokens: tokens, Seed: 1, Stream: true,
	})
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	begun := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.HeaderRequestID, strconv.FormatInt(number, 10))
	request.Header.Set("Authorization", "Bearer "+keyOf(c.world.Scenario.Fleet.Team.Name, config.RoleCaller))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return 0, 0, fmt.Errorf("bench: %s: %s %s", url, response.Status, body)
	}
	return readChunks(response.Body, begun)
}

var errCut = errors.New("bench: stream without its end")

func readChunks(body io.Reader, begun time.Time) (first time.Duration, chunks int, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		if strings.TrimSpace(data) == wire.StreamEnd {
			return first, chunks, nil
		}
		if chunks == 0 {
			first = time.Since(begun)
		}
		chunks++
	}
	return first, chunks, errCut
}

// microsPerTick is Linux's USER_HZ of 100, the unit of /proc/PID/stat.
const microsPerTick = 10_000

// ticksOf returns a process's user and system time.
func ticksOf(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("bench: %w", err)
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // behind the name, counted from 0
	if len(fields) <= system {
		return 0, fmt.Errorf("bench: /proc/%d/stat is short", pid)
	}
	u, errU := strconv.ParseFloat(fields[user], 64)
	s, errS := strconv.ParseFloat(fields[system], 64)
	return u + s, errors.Join(errU, errS)
}

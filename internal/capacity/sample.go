package capacity

import (
	"context"
	"time"
)

// Sample is one point of a series, measured over a window.
type Sample struct {
	Series  string             `json:"series"`
	Size    float64            `json:"size"`
	Seconds float64            `json:"seconds"`
	CPU     float64            `json:"cpu"`   // seconds of a core
	RSS     float64            `json:"rss"`   // bytes at the end
	Heap    float64            `json:"heap"`  // bytes at the end, garbage included
	Alloc   float64            `json:"alloc"` // bytes allocated in the window
	Objects float64            `json:"objects"`
	Done    float64            `json:"done"`   // units of work: answers, changes, samples
	Failed  float64            `json:"failed"` // of them without success
	Traffic map[string]Traffic `json:"traffic"`
}

// observation is everything read at one moment.
type observation struct {
	at      time.Time
	process Process
	memory  Memory
	traffic map[string]Traffic
}

func (w *World) observe(ctx context.Context) (observation, error) {
	memory, err := readMemory(ctx, w.options.url(portAdmin), w.options.AdminToken)
	if err != nil {
		return observation{}, err
	}
	process, err := readProcess(w.options.PID)
	return observation{time.Now(), process, memory, w.meters.read()}, err
}

// measure runs work and returns what the daemon spent meanwhile.
func (w *World) measure(ctx context.Context, series string, size int, work func(context.Context) (done, failed int64, err error)) (Sample, error) {
	before, err := w.observe(ctx)
	if err != nil {
		return Sample{}, err
	}
	done, failed, err := work(ctx)
	if err != nil {
		return Sample{}, err
	}
	after, err := w.observe(ctx)
	if err != nil {
		return Sample{}, err
	}
	s := Sample{
		Series: series, Size: float64(size), Seconds: after.at.Sub(before.at).Seconds(),
		CPU: after.process.CPUSeconds - before.process.CPUSeconds, RSS: float64(after.process.RSSBytes),
		Heap: float64(after.memory.HeapAlloc), Alloc: float64(after.memory.TotalAlloc - before.memory.TotalAlloc),
		Objects: float64(after.memory.Mallocs - before.memory.Mallocs),
		Done:    float64(done), Failed: float64(failed), Traffic: map[string]Traffic{},
	}
	for name, t := range after.traffic {
		s.Traffic[name] = t.minus(before.traffic[name])
	}
	return s, nil
}

// rest is a window without work.
func rest(window time.Duration) func(context.Context) (int64, int64, error) {
	return func(ctx context.Context) (int64, int64, error) {
		pause(ctx, window)
		return 0, 0, ctx.Err()
	}
}

// during runs a load for one window and counts what the callers got.
func (c *callers) during(window time.Duration, load func(context.Context)) func(context.Context) (int64, int64, error) {
	return func(ctx context.Context) (int64, int64, error) {
		done, failed := c.done.Load(), c.failed.Load()
		loaded, cancel := context.WithTimeout(ctx, window)
		defer cancel()
		load(loaded)
		return c.done.Load() - done, c.failed.Load() - failed, ctx.Err()
	}
}

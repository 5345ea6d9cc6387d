package engine

import (
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if e.options.LoadLag <= 0 {
		e.sample()
	}
	e.mu.Lock()
	report := e.report
	report.AgeMillis = time.Since(e.reported).Milliseconds()
	e.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, report)
}

// sampleEvery refreshes the report that /load answers with once in LoadLag.
func (e *Engine) sampleEvery() {
	ticker := time.NewTicker(e.options.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.sample()
		case <-e.closing:
			return
		}
	}
}

func (e *Engine) sample() {
	leaving := e.leaving.IsLeaving()
	e.mu.Lock()
	defer e.mu.Unlock()
	report := wire.LoadReport{
		BootID:          e.bootID,
		Running:         len(e.running),
		Queued:          len(e.queue),
		Leaving:         leaving,
		Serving:         map[string]int64{},
		Loaded:          map[string][]int64{},
		TokenTimeMicros: e.stepTime.Microseconds(),
	}
	for name, m := range e.models {
		report.Serving[name] = m.reported
		report.Loaded[name] = append([]int64(nil), m.loaded...)
	}
	e.report, e.reported = report, time.Now()
}

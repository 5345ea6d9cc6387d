package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// model is the one model of the measurement.
const model = "drafts"

// maxAnswerTokens bounds what a fake engine generates.
const maxAnswerTokens = 4096

// Names of the fake upstreams' groups.
const (
	engineGroup  = "engines"
	serviceGroup = "counter"
	scorerGroup  = "scorers"
)

// newUpstream answers as any kind of upstream. An engine's answer has max_tokens
// chunks of one token, which are counted, with a pause between two if the prompt begins with one.
func newUpstream(chunks *Meter) http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /load", serveLoad)
	routes.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { serveCompletion(w, r, chunks) })
	routes.HandleFunc("POST /score", serveScore)
	routes.HandleFunc("POST /orders", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, wire.OrderResult{Applied: true, Serving: 1})
	})
	routes.HandleFunc("/", serveCall)
	return echo(routes)
}

func echo(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		h.ServeHTTP(w, r)
	})
}

func serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, wire.LoadReport{
		BootID: "boot", Running: 1, TokenTimeMicros: 4000,
		Serving: map[string]int64{model: 1}, Loaded: map[string][]int64{model: {1}},
	})
}

func serveScore(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, wire.ScoreResponse{ID: r.Header.Get(wire.HeaderRequestID), Reward: 0.5})
}

func serveCall(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]string{"booked": "yes"})
}

func writeJSON(w http.ResponseWriter, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}

func serveCompletion(w http.ResponseWriter, r *http.Request, chunks *Meter) {
	var request wire.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, tokens := r.Header.Get(wire.HeaderRequestID), min(max(request.MaxTokens, 1), maxAnswerTokens)
	pause := pauseIn(request.Prompt)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := range tokens {
		if pause > 0 && i > 0 {
			time.Sleep(pause)
		}
		raw, _ := json.Marshal(chunk(id, i == tokens-1)) // plain values
		if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
			return
		}
		chunks.exchanges.Add(1)
		if pause > 0 {
			_ = flush.Flush()
		}
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", wire.StreamEnd)
}

// pausePrompt asks a fake engine to wait between two chunks.
func pausePrompt(pause time.Duration, i int) string { return fmt.Sprintf("%s %d", pause, i) }

func pauseIn(prompt string) time.Duration {
	first, _, _ := strings.Cut(prompt, " ")
	pause, _ := time.ParseDuration(first) // any other prompt has none
	return pause
}

func chunk(id string, last bool) wire.GenerateChunk {
	c := wire.GenerateChunk{
		ID: id, Object: "text_completion", Model: model, WeightVersion: 1, Tokens: 1,
		Choices: []wire.Choice{{Text: "token "}},
	}
	if last {
		reason := "length"
		c.Choices[0].FinishReason = &reason
	}
	return c
}

// startUpstreams serves n engines, a service and a scorer, on ports in that order.
func (w *World) startUpstreams(n int) error {
	load, work := w.meters.of(meterLoad), w.meters.of(meterUpstreams)
	pick := func(r *http.Request) *Meter {
		if r.URL.Path == "/load" {
			return load
		}
		return work
	}
	h := newUpstream(w.meters.of(meterChunks))
	for i := range n + 2 {
		if err := w.serve(portUpstream+i, h, pick); err != nil {
			return err
		}
	}
	return nil
}

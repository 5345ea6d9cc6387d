package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// in runs a test in a bubble of its own time, with an engine of one token each
// 10 ms that a second stream slows down by half.
func in(t *testing.T, o engine.Options, test func(g *WithT, e *engine.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		o.Models = map[string]int64{"drafts": 1}
		o.TokenTime = 10 * time.Millisecond
		o.Slowdown = 0.5
		e := engine.New(o)
		defer e.Close()
		test(NewWithT(t), e)
	})
}

func post(e *engine.Engine, path, id string, body any, into any) int {
	return postAs(context.Background(), e, path, id, body, into)
}

func postAs(ctx context.Context, e *engine.Engine, path, id string, body any, into any) int {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(raw))).WithContext(ctx)
	r.Header.Set(wire.HeaderRequestID, id)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	_ = json.Unmarshal(w.Body.Bytes(), into)
	return w.Code
}

func generate(e *engine.Engine, id string, request wire.GenerateRequest) (wire.GenerateChunk, int) {
	var whole wire.GenerateChunk
	request.Model = "drafts"
	status := post(e, "/v1/completions", id, request, &whole)
	return whole, status
}

func get(e *engine.Engine, path string, into any) {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if err := json.Unmarshal(w.Body.Bytes(), into); err != nil {
		panic(err)
	}
}

func TestBatchingSlowsEachStream(t *testing.T) {
	in(t, engine.Options{}, func(g *WithT, e *engine.Engine) {
		begun := time.Now()
		whole, _ := generate(e, "alone", wire.GenerateRequest{Prompt: "p tokens=10", MaxTokens: 100})
		g.Expect(time.Since(begun)).To(Equal(100 * time.Millisecond))
		g.Expect(answer.CheckComplete("p tokens=10", whole.Choices[0].Text, 100)).To(Succeed())
		g.Expect(*whole.Choices[0].FinishReason).To(Equal("stop"))

		begun = time.Now()
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() { generate(e, fmt.Sprint(i), wire.GenerateRequest{Prompt: "q", MaxTokens: 10}) })
		}
		both.Wait()
		// The first step may begin before the second stream is in.
		g.Expect(time.Since(begun)).To(BeNumerically("~", 150*time.Millisecond, 10*time.Millisecond))
	})
}

func TestQueueIsInOrderOfArrival(t *testing.T) {
	in(t, engine.Options{MaxRunning: 1}, func(g *WithT, e *engine.Engine) {
		var ended []string
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, id := range []string{"a", "b", "c"} {
			all.Go(func() {
				generate(e, id, wire.GenerateRequest{Prompt: id, MaxTokens: 3})
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, id)
			})
			synctest.Wait()
		}
		var load wire.LoadReport
		get(e, "/load", &load)
		g.Expect([]int{load.Running, load.Queued}).To(Equal([]int{1, 2}))
		all.Wait()
		g.Expect(ended).To(Equal([]string{"a", "b", "c"}))
	})
}

func TestCachedPrefixSavesThePrefill(t *testing.T) {
	in(t, engine.Options{PrefillPerByte: time.Millisecond, PrefixCapacity: 1}, func(g *WithT, e *engine.Engine) {
		prompt := strings.Repeat("x", 100)
		took := func(prompt string) time.Duration {
			begun := time.Now()
			generate(e, "r", wire.GenerateRequest{Prompt: prompt, MaxTokens: 1})
			return time.Since(begun)
		}
		g.Expect(took(prompt)).To(Equal(100 * time.Millisecond))
		g.Expect(took(prompt)).To(Equal(10 * time.Millisecond))
		took("another prompt takes its place")
		g.Expect(took(prompt)).To(Equal(100 * time.Millisecond))
		var page wire.CacheEventPage
		get(e, "/cache-events?from=0", &page)
		g.Expect(page.Events).To(HaveLen(5)) // three in, two out
	})
}

func TestSwitchInTheMiddleOfAStream(t *testing.T) {
	in(t, engine.Options{CheckFencing: true}, func(g *WithT, e *engine.Engine) {
		var whole wire.GenerateChunk
		var running sync.WaitGroup
		running.Go(func() { whole, _ = generate(e, "r", wire.GenerateRequest{Prompt: "p", MaxTokens: 10}) })
		time.Sleep(45 * time.Millisecond)
		order := func(kind wire.OrderKind, version, fence int64) (result wire.OrderResult, status int) {
			o := wire.Order{Kind: kind, Model: "drafts", Version: version, Fence: fence}
			status = post(e, "/orders", "", o, &result)
			return result, status
		}
		_, status := order(wire.OrderSwitch, 2, 5)
		g.Expect(status).To(Equal(http.StatusServiceUnavailable)) // not loaded
		_, status = order(wire.OrderLoad, 2, 5)
		g.Expect(status).To(Equal(http.StatusOK))
		result, status := order(wire.OrderSwitch, 2, 4)
		g.Expect(status).To(Equal(http.StatusConflict)) // fenced off
		g.Expect(result.HighestFence).To(BeEquivalentTo(5))
		result, _ = order(wire.OrderSwitch, 2, 5)
		g.Expect(result).To(Equal(wire.OrderResult{Applied: true, Serving: 2, HighestFence: 5}))
		running.Wait()
		g.Expect(whole.Segments).To(Equal([]wire.Segment{{WeightVersion: 1, Tokens: 4}, {WeightVersion: 2, Tokens: 6}}))
		labels := []answer.Segment{{Version: 1, To: 4}, {Version: 2, From: 4, To: 10}}
		g.Expect(answer.Check("p", whole.Choices[0].Text, labels)).To(Succeed())
		var truth engine.Truth
		get(e, "/truth?id=r", &truth)
		g.Expect(truth.Runs).To(Equal([]engine.Run{{Segments: labels}}))
	})
}

// An operator sees the new version in the report at once, but for a while the
// engine still generates with the old one.
func TestReportBeforeServing(t *testing.T) {
	in(t, engine.Options{}, func(g *WithT, e *engine.Engine) {
		g.Expect(e.Faults().Add(fault.Spec{Kind: fault.ReportBeforeServing, Count: 1, Value: 200})).To(Succeed())
		var result wire.OrderResult
		post(e, "/orders", "", wire.Order{Kind: wire.OrderLoad, Model: "drafts", Version: 2}, &result)
		post(e, "/orders", "", wire.Order{Kind: wire.OrderSwitch, Model: "drafts", Version: 2}, &result)
		g.Expect(result.Serving).To(BeEquivalentTo(2))
		whole, _ := generate(e, "r", wire.GenerateRequest{Prompt: "p", MaxTokens: 2})
		g.Expect(whole.WeightVersion).To(BeEquivalentTo(1))
		time.Sleep(200 * time.Millisecond)
		whole, _ = generate(e, "r", wire.GenerateRequest{Prompt: "p", MaxTokens: 2})
		g.Expect(whole.WeightVersion).To(BeEquivalentTo(2))
	})
}

func TestResumeGoesOnBehindTheText(t *testing.T) {
	in(t, engine.Options{}, func(g *WithT, e *engine.Engine) {
		before := answer.Text("p", 7, 4, 1)
		request := wire.GenerateRequest{Prompt: "p", Seed: 7, MaxTokens: 10, ResumeText: before, ResumeTokens: 4}
		whole, _ := generate(e, "r", request)
		g.Expect(whole.Tokens).To(Equal(6))
		g.Expect(answer.CheckComplete("p", before+whole.Choices[0].Text, 10)).To(Succeed())
		request.ResumeTokens = 3
		_, status := generate(e, "r", request)
		g.Expect(status).To(Equal(http.StatusBadRequest))
	})
}

func TestCallerGoneEndsTheStream(t *testing.T) {
	in(t, engine.Options{}, func(g *WithT, e *engine.Engine) {
		ctx, cancel := context.WithTimeout(context.Background(), 55*time.Millisecond)
		defer cancel()
		request := wire.GenerateRequest{Model: "drafts", Prompt: "p", MaxTokens: 1000}
		postAs(ctx, e, "/v1/completions", "r", request, nil)
		time.Sleep(time.Second)
		var counts engine.Counts
		get(e, "/counts", &counts)
		g.Expect(counts.Runs).To(Equal(map[string]int{"r": 1}))
		g.Expect(counts.Tokens["r"][1]).To(Equal(5))
	})
}

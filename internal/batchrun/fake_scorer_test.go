package batchrun

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeScorer is a Scorer that checks the reward calls it gets.
type fakeScorer struct {
	t       *testing.T
	engines *fakeEngines

	mu           sync.Mutex
	callDuration time.Duration    // how long a call takes
	calls        []fakeRewardCall // in the order in which they arrived
	noScoreRate  float64          // fraction of the calls that end without a score
	failuresLeft map[string]int   // by sample, how many of its next calls fail
}

// fakeRewardCall is a reward call that a fakeScorer has received.
type fakeRewardCall struct {
	sample string // ID of the sample
	began  time.Time
	failed bool
	// newConn says that the call was asked for on new connections.
	newConn bool
}

// testCustomer has the batches with reward calls, which take its share of the service that scores.
const testCustomer = "customer"

// rewardCallID returns the ID of a sample's reward call.
func rewardCallID(sample string) string { return "reward-" + sample }

// setCallDuration sets how long the next calls take.
func (f *fakeScorer) setCallDuration(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callDuration = d
}

// Score returns a signature with the number of the call, from 1.
func (f *fakeScorer) Score(ctx context.Context, r ScoreRequest) ScoreResult {
	c := r.Call
	sample := strings.TrimPrefix(c.ID, "reward-")
	if c.Host != testHost || r.Route.Name != "rewards" || string(c.Body) != "score "+sample {
		f.t.Errorf("sample %s has the reward call %+v on route %s", sample, c, r.Route.Name)
	}
	if r.Customer.Name != testCustomer {
		f.t.Errorf("the reward call of sample %s has the customer %q", sample, r.Customer.Name)
	}
	f.mu.Lock()
	failed := f.failuresLeft[sample] > 0
	if failed {
		f.failuresLeft[sample]--
	}
	f.calls = append(f.calls, fakeRewardCall{sample, time.Now(), failed, r.NewConn})
	signature, duration := fmt.Sprintf("signature:%d", len(f.calls)), f.callDuration
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ScoreResult{Reason: "cancelled"}
	case <-time.After(duration):
	}
	switch {
	case failed:
		return ScoreResult{Failures: 1, Reason: "status 500"}
	case f.engines.chance(f.noScoreRate):
		return ScoreResult{Reason: "incomplete answer"}
	}
	return ScoreResult{Score: signature}
}

// checkScore fails the test unless a result's score is the signature of a successful answer to a
// reward call of the sample that began after the last event of its text.
func (f *fakeScorer) checkScore(r Result) {
	n, err := strconv.Atoi(strings.TrimPrefix(r.Score, "signature:"))
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || n < 1 || n > len(f.calls) {
		f.t.Errorf("sample %s has the score %q", r.ID, r.Score)
		return
	}
	call, textEnd := f.calls[n-1], f.engines.lastEventAt(r.Text)
	if call.sample != r.ID || call.failed || call.began.Before(textEnd) {
		f.t.Errorf("sample %s, whose last event was at %s, has the score of the call %+v", r.ID, textEnd, call)
	}
}

// callCount returns the number of reward calls of a sample.
func (f *fakeScorer) callCount(sample string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		if c.sample == sample {
			n++
		}
	}
	return n
}

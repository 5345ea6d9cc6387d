package batchrun

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// fakeScorer is the service that scores texts.
type fakeScorer struct {
	t            *testing.T
	engines      *fakeEngines
	callDuration time.Duration

	mu           sync.Mutex
	calls        []fakeRewardCall
	noScoreRate  float64        // part of the calls that end without a score
	failuresLeft map[string]int // by sample, how many of its calls fail still
}

type fakeRewardCall struct {
	sample string
	began  time.Time
	failed bool
}

// rewardCallID is the ID of a sample's reward call.
func rewardCallID(sample string) string { return "reward-" + sample }

// Score answers with a signature that names the call's number.
func (f *fakeScorer) Score(ctx context.Context, route routes.Route, c batch.RewardCall) Verdict {
	sample := strings.TrimPrefix(c.ID, "reward-")
	if c.Host != testHost || route.Name != "rewards" || string(c.Body) != "score "+sample {
		f.t.Errorf("reward call of %s came as %+v over %s", sample, c, route.Name)
	}
	f.mu.Lock()
	failed := f.failuresLeft[sample] > 0
	if failed {
		f.failuresLeft[sample]--
	}
	f.calls = append(f.calls, fakeRewardCall{sample, time.Now(), failed})
	signature := fmt.Sprintf("signature:%d", len(f.calls))
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return Verdict{Reason: "cancelled"}
	case <-time.After(f.callDuration):
	}
	switch {
	case failed:
		return Verdict{Failures: 1, Reason: "status 500"}
	case f.engines.chance(f.noScoreRate):
		return Verdict{Reason: "no whole answer"}
	}
	return Verdict{Score: signature}
}

// checkScore fails the test unless a score is the signature of a good answer to the
// sample's own call, made after its text's last event.
func (f *fakeScorer) checkScore(r Result) {
	n, err := strconv.Atoi(strings.TrimPrefix(r.Score, "signature:"))
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || n < 1 || n > len(f.calls) {
		f.t.Errorf("sample %s has the score %q", r.ID, r.Score)
		return
	}
	call, last := f.calls[n-1], f.engines.lastEventAt(r.Text)
	if call.sample != r.ID || call.failed || call.began.Before(last) {
		f.t.Errorf("sample %s, last event at %s, has the score of %+v", r.ID, last, call)
	}
}

// callCount counts the reward calls of a sample.
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

package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/crashes"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// fragile upstreams crash on one body and answer any other.
type fragile struct {
	reset bool // they only reset the connection and stay

	mu   sync.Mutex
	down map[string]bool
	hits int
}

func (f *fragile) Call(_ context.Context, u registry.Upstream, c *Call, _ bool) (*Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[u.ID] {
		return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("connection refused")}
	}
	if string(c.Body) != "killer" {
		return &Answer{Status: http.StatusOK, Load: -1}, nil
	}
	f.hits++
	f.down[u.ID] = !f.reset
	return nil, &exchange.Failure{Kind: exchange.Reset, Sent: true, Err: errors.New("connection reset")}
}

func (f *fragile) Open(context.Context, registry.Upstream, *Call, Resume) (*Stream, error) {
	return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("no streams here")}
}

func (f *fragile) Reachable(_ context.Context, u registry.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[u.ID]
}

// A request crashes each upstream that runs it, and its caller sends it again and
// again. Each time upstreams would go down that others need; after three it has to be
// refused without a send. One whose connections are only reset is sent on.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("only reset: ", reset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				start := time.Now()
				now := func() time.Duration { return time.Since(start) }
				view := fleet.New(now)
				view.Upstreams(func(r *registry.Registry, _ time.Duration) {
					for i := range 20 {
						r.Put(registry.Upstream{ID: fmt.Sprint("u", i), Service: "s", DataCentre: "here"})
					}
				})
				ledger := crashes.New("vm", metastore.NewClient(metastore.New(1), time.Second), now, zerolog.Nop())
				go ledger.Run(ctx)
				f := &fragile{reset: reset, down: map[string]bool{}}
				gate := New(Options{View: view, Upstreams: f, Crashes: ledger, Suspects: health.NewSuspects(), DataCentre: "here", Now: now, Logger: zerolog.Nop()})
				r := routes.Route{Kind: routes.Safe, MaxAttempts: 2, Services: []routes.Share{{Service: "s", Weight: 1}}}
				do := func(body string) (*Answer, *Refusal) {
					return gate.Do(ctx, r, &Call{ID: "c", Body: []byte(body), Deadline: time.Now().Add(time.Second)})
				}
				for range 5 {
					_, refusal := do("killer")
					g.Expect(refusal).NotTo(BeNil())
					time.Sleep(time.Second)
				}
				if reset {
					g.Expect(f.hits).To(Equal(10))
					return
				}
				g.Expect(f.hits).To(Equal(4), "two calls of two attempts each")
				_, refusal := do("killer")
				g.Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				answer, _ := do("fine")
				g.Expect(answer).NotTo(BeNil())
			})
		})
	}
}

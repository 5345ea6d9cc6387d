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

// crashingUpstreams crash on the request body "killer" and respond to any other.
type crashingUpstreams struct {
	resetOnly bool // they reset the connection of a killer but stay up
	reused    bool // their connections had served a request before

	mu      sync.Mutex
	calm    bool            // they respond to a killer too
	down    map[string]bool // by ID
	killers int             // killer requests that reached an upstream
}

func (f *crashingUpstreams) Call(_ context.Context, u registry.Upstream, c *Call, _ bool) (*Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[u.ID] {
		return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("connection refused")}
	}
	if string(c.Body) != "killer" || f.calm {
		return &Response{Status: http.StatusOK}, nil
	}
	f.killers++
	f.down[u.ID] = !f.resetOnly
	return nil, &exchange.Failure{Kind: exchange.Reset, Sent: true, Reused: f.reused, Err: errors.New("connection reset")}
}

func (f *crashingUpstreams) Open(context.Context, registry.Upstream, *Call, Resume) (*Stream, error) {
	return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("streams are not supported")}
}

func (f *crashingUpstreams) Reachable(_ context.Context, u registry.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[u.ID]
}

// newCrashGateway returns a gateway before twenty upstreams.
func newCrashGateway(ctx context.Context, f *crashingUpstreams) *Gateway {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	view := fleet.New(now)
	view.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) {
		for i := range 20 {
			r.Put(registry.Upstream{ID: fmt.Sprint("u", i), Service: "s", DataCentre: "here"})
		}
	})
	tracker := crashes.New("vm", metastore.NewClient(metastore.New(1), time.Second), now, zerolog.Nop())
	go tracker.Run(ctx)
	return New(Options{View: view, Upstreams: f, Crashes: tracker, Suspects: health.NewSuspects(), DataCentre: "here", Now: now, Logger: zerolog.Nop()})
}

// crashRoute is a route to the upstreams of newCrashGateway.
var crashRoute = routes.Route{Kind: routes.Safe, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}

// Guards against a request that crashes each upstream that runs it and is retried by its
// caller until no upstream is left for other calls. After three crashes it must be refused
// without a send. A request whose connections are only reset must still be sent.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	for _, resetOnly := range []bool{false, true} {
		t.Run(fmt.Sprint("connection reset without a crash: ", resetOnly), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				f := &crashingUpstreams{resetOnly: resetOnly, down: map[string]bool{}}
				gate := newCrashGateway(ctx, f)
				do := func(body string) (*Response, *Refusal) {
					return gate.Do(ctx, crashRoute, &Call{ID: "c", Body: []byte(body), Deadline: time.Now().Add(time.Second)})
				}
				for range 5 {
					_, refusal := do("killer")
					g.Expect(refusal).NotTo(BeNil())
					time.Sleep(time.Second)
				}
				if resetOnly {
					g.Expect(f.killers).To(Equal(10))
					return
				}
				g.Expect(f.killers).To(Equal(4), "two calls with two sends each")
				_, refusal := do("killer")
				g.Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				response, _ := do("fine")
				g.Expect(response).NotTo(BeNil())
			})
		})
	}
}

// Guards against a request that is never blocked because its crashes come on connections that had
// served other calls: such a reset looks like that of an idle connection. If the upstream is up, it
// must still count as no crash.
func TestCrashOnAReusedConnectionCounts(t *testing.T) {
	for _, resetOnly := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := &crashingUpstreams{resetOnly: resetOnly, reused: true, down: map[string]bool{}}
			gate := newCrashGateway(ctx, f)
			for range 5 {
				_, refusal := gate.Do(ctx, crashRoute, &Call{ID: "c", Body: []byte("killer"), Deadline: time.Now().Add(time.Second)})
				g.Expect(refusal).NotTo(BeNil())
				time.Sleep(time.Second)
			}
			if resetOnly {
				g.Expect(f.killers).To(Equal(10))
			} else {
				g.Expect(f.killers).To(Equal(4), "two calls with two sends each")
			}
		})
	}
}

// Guards against a reward call, and with it its sample, that is refused for good after a burst in
// which scorers crashed under it. Once they are up again it must be answered; until then it may
// take down one scorer in each pause.
func TestDurableCallIsDelayedAndNotBlockedByCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := &crashingUpstreams{down: map[string]bool{}}
		gate := newCrashGateway(ctx, f)
		do := func() (*Response, *Refusal) {
			return gate.Do(ctx, crashRoute, &Call{ID: "c", Body: []byte("killer"), Durable: true, Deadline: time.Now().Add(time.Second)})
		}
		for range 2 {
			_, refusal := do()
			g.Expect(refusal).NotTo(BeNil())
			time.Sleep(time.Second)
		}
		const burst = 20 * time.Second
		before := f.killers
		for began := time.Now(); time.Since(began) < burst; {
			_, refusal := do()
			g.Expect(refusal).NotTo(BeNil())
			g.Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", crashes.CrasherPause)))
			time.Sleep(refusal.RetryAfter)
		}
		g.Expect(f.killers - before).To(And(BeNumerically(">=", 2), BeNumerically("<=", int(burst/crashes.CrasherPause)+1)))
		f.mu.Lock()
		f.calm = true
		f.mu.Unlock()
		time.Sleep(crashes.CrasherPause)
		response, refusal := do()
		g.Expect(refusal).To(BeNil())
		g.Expect(response.Status).To(Equal(http.StatusOK))
	})
}

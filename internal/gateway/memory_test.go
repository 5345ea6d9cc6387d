package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// Guards against a call that has run being sent once more or called "not run" because its answer
// found no room, and against the opposite for a request that was never sent.
func TestNoRoom(t *testing.T) {
	answer, request := fails(exchange.NoRoom, true), fails(exchange.NoRoom, false)
	for _, c := range []struct {
		name       string
		behaviours []behaviour
		status     int
		sends      int
	}{
		{"for the answer", []behaviour{answer, ok(0)}, http.StatusBadGateway, 1},
		{"for the answer, after a refusal", []behaviour{status(503, true), answer}, http.StatusBadGateway, 2},
		{"for the request at one upstream", []behaviour{request, ok(0)}, http.StatusOK, 2},
		{"for the request at each upstream", []behaviour{request, request}, http.StatusServiceUnavailable, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, f := setup(c.behaviours...)
				response, refusal := gate.Do(context.Background(), route(routes.Safe, 3), call())
				if refusal != nil {
					g.Expect(refusal.Status).To(Equal(c.status))
				} else {
					g.Expect(response.Status).To(Equal(c.status))
				}
				g.Expect(f.total()).To(Equal(c.sends))
			})
		})
	}
}

// slowCaller needs a second for each event and notes how many bytes were held when it got the
// first one.
type slowCaller struct {
	*fakeStreams
	budget *membudget.Budget
	held   int64
	fail   bool
}

func (s *slowCaller) Write(e Event) error {
	time.Sleep(time.Second)
	if e.ID == 1 {
		s.held = s.budget.Held()
	}
	if s.fail {
		return errors.New("caller's connection is closed")
	}
	return s.fakeStreams.Write(e)
}

// Guards against an upstream that waits because the caller of its stream reads slowly, and
// against events that stay held after the stream, whatever ended it.
func TestSlowCallerOfStream(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget int64
		gone   bool
		events int
		err    error
	}{
		{"room for all", 100, false, streamLength, nil},
		{"room for two events", 8, false, 2, &exchange.Failure{}},
		{"caller leaves", 100, true, 0, errCallerGone},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, f := streamSetup(streamBehaviour{})
				b := membudget.New(c.budget)
				k := call()
				k.Lease, _ = b.Acquire(0)
				ctx, cancel := context.WithCancel(context.Background())
				stream, err := f.Open(ctx, gate.view.ByService("s")[0], k, Resume{})
				g.Expect(err).NotTo(HaveOccurred())
				caller := &slowCaller{fakeStreams: f, budget: b, fail: c.gone}
				s := &activeStream{g: gate, call: k, writer: caller}
				queue := newEventQueue(stream.Events, k.Lease, cancel)
				err = s.forwardEvents(stream, queue)
				queue.close()
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(caller.held).To(Equal(int64(streamLength * len("u0:1"))))
					g.Expect(b.Held()).To(BeZero())
				} else {
					g.Expect(err).To(BeAssignableToTypeOf(c.err))
					g.Expect(foundNoRoom(err)).To(Equal(!c.gone))
				}
				k.Lease.Release()
				g.Expect(b.Held()).To(BeZero())
				g.Expect(f.received).To(HaveLen(c.events))
				g.Expect(f.closed).To(Equal(1))
			})
		})
	}
}

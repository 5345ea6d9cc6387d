package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

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
// against events that stay held after the stream, whatever ended it. Guards also against streams
// that end although their lease holds enough for an answer, because new calls have taken the rest.
func TestSlowCallerOfStream(t *testing.T) {
	for _, c := range []struct {
		name    string
		budget  int64
		reserve int64
		gone    bool
		events  int
		err     error
	}{
		{"room for all", 100, 0, false, streamLength, nil},
		{"room for two events", 8, 0, false, 2, &exchange.Failure{}},
		{"no room but that of the lease", 16, 16, false, streamLength, nil},
		{"caller leaves", 100, 0, true, 0, errCallerGone},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, f := streamSetup(streamBehaviour{})
				b := membudget.New(c.budget)
				k := call()
				k.Lease, _ = b.Acquire(c.reserve)
				ctx, cancel := context.WithCancel(context.Background())
				stream, err := f.Open(ctx, gate.view.ByService("s")[0], k, Resume{})
				g.Expect(err).NotTo(HaveOccurred())
				caller := &slowCaller{fakeStreams: f, budget: b, fail: c.gone}
				s := &activeStream{g: gate, call: k, writer: caller}
				queue := newEventQueue(stream.Events, k.Lease, c.reserve, cancel)
				err = s.forwardEvents(stream, queue)
				queue.close()
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(caller.held).To(Equal(int64(streamLength * len("u0:1"))))
					g.Expect(b.Held()).To(Equal(c.reserve))
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

package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// truncatedConn delivers the first bytes of its peer and then fails.
type truncatedConn struct {
	net.Conn
	left int
	err  error
}

func (c *truncatedConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, c.err
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// Guards against an answer that breaks off at any byte and is taken for the owner's: a step that
// counts as submitted, at its end, cancelled or unknown.
var _ = DescribeTable("a truncated answer isn't that of a step's owner", func(ctx SpecContext, call func(context.Context, *daemon) error) {
	var left atomic.Int64
	var reset atomic.Bool
	left.Store(1 << 20)
	a, _ := startDaemon("a", func(o *Options) {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if reset.Load() {
				return &truncatedConn{conn, int(left.Load()), syscall.ECONNRESET}, err
			}
			return &truncatedConn{conn, int(left.Load()), io.EOF}, err
		}
	})
	startDaemon("b", func(o *Options) { o.Steps = fakeSteps{completion: "x"} }, a.Address())
	Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b")))
	for _, byReset := range []bool{false, true} {
		reset.Store(byReset)
		cut := 0
		for answered := false; !answered; cut++ {
			left.Store(int64(cut))
			err := call(ctx, a)
			var typed *rollouts.Error
			answered = err == nil || errors.As(err, &typed)
		}
		Expect(cut).To(BeNumerically(">=", partFrameBytes), "the owner's answer has its last part")
	}
},
	Entry("submit", func(ctx context.Context, d *daemon) error {
		answer, err := d.ForwardSubmit(ctx, "b", "t", "j", 4, rollouts.SubmitRequest{})
		if err == nil {
			Expect(answer).To(Equal(rollouts.SubmitResponse{Job: "j", Step: 4}))
		}
		return err
	}),
	Entry("pull", func(ctx context.Context, d *daemon) error {
		answer, err := d.ForwardPull(ctx, "b", "t", "j", 4, rollouts.PullRequest{})
		if err == nil {
			Expect(answer).To(Equal(&rollouts.PullResponse{Job: "jx", Step: 4, End: true}))
		}
		return err
	}),
	Entry("status", func(ctx context.Context, d *daemon) error {
		_, err := d.ForwardStatus(ctx, "b", "t", "j", 4)
		var typed *rollouts.Error
		if errors.As(err, &typed) {
			Expect(typed).To(Equal(&rollouts.Error{Kind: rollouts.UnknownStep, Reason: "not here", RetryAfter: 2 * time.Second}))
		}
		return err
	}),
	Entry("cancel", func(ctx context.Context, d *daemon) error { return d.ForwardCancel(ctx, "b", "t", "j", 4) }),
)

// partFrameBytes is the least size of a drpc frame with a body's last part.
const partFrameBytes = 6

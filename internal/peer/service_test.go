package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

const (
	generous = 20 * time.Second
	often    = 10 * time.Millisecond
)

var _ = Describe("daemons over loopback", func() {
	It("find each other through one seed and exchange digests", func() {
		a, _ := startDaemon("a", nil)
		a.digests.set(dispatch.Digest{InFlight: map[ident.Upstream]int{"up": 3}, Down: []ident.Upstream{"gone"}})
		b, _ := startDaemon("b", nil, a.Address())
		c, _ := startDaemon("c", nil, a.Address())
		Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b"), ident.VM("c")))
		Eventually(b.live, generous, often).Should(ConsistOf(ident.VM("a"), ident.VM("c")))
		Eventually(c.live, generous, often).Should(ConsistOf(ident.VM("a"), ident.VM("b")))
		Eventually(func() dispatch.Digest { d, _ := c.digests.of("a"); return d }, generous, often).Should(
			And(HaveField("InFlight", HaveKeyWithValue(ident.Upstream("up"), 3)), HaveField("Down", ConsistOf(ident.Upstream("gone")))))
		owner, _ := a.Owner("a key")
		for _, d := range []*daemon{b, c} {
			same, _ := d.Owner("a key")
			Expect(same).To(Equal(owner))
		}
	})

	// A stranger, or a daemon with last month's token, reaches the peer port. It
	// is refused at its first message, learns nothing and joins nothing.
	It("refuse a wrong token", func() {
		a, _ := startDaemon("a", nil)
		before := refusedTokens.Value()
		b, _ := startDaemon("b", func(o *Options) { o.Token = "another secret" }, a.Address())
		Eventually(refusedTokens.Value, generous, often).Should(BeNumerically(">", before+1))
		Expect(a.live()).To(BeEmpty())
		Expect(b.live()).To(BeEmpty())
		conn, err := b.connect(context.Background(), "a", a.Address())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		stream, err := peerpb.NewDRPCPeerClient(conn).FetchConfig(context.Background(), &peerpb.FetchConfigRequest{})
		if err == nil { // the connection may end before the call is written out
			_, err = stream.Recv()
		}
		Expect(err).To(HaveOccurred())
		Eventually(conn.Closed(), generous).Should(BeClosed())
	})

	// The network to a VM goes silent without a reset. Its load stops counting
	// and its keys move; once the network is back a new connection is dialled.
	It("give up a silent connection and dial anew", func() {
		var deaf atomic.Bool
		silenced := func(o *Options) {
			o.SilentAfter = 500 * time.Millisecond
			o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return &deafConn{conn, &deaf}, err
			}
		}
		a, _ := startDaemon("a", silenced)
		b, _ := startDaemon("b", silenced, a.Address())
		Eventually(b.live, generous, often).Should(ConsistOf(ident.VM("a")))
		deaf.Store(true)
		Eventually(func() []MemberStatus { return b.Members()[1:] }, generous, often).Should(ConsistOf(
			And(HaveField("Live", false), HaveField("Connected", false))))
		_, known := b.digests.of("a")
		Expect(known).To(BeFalse())
		deaf.Store(false)
		Eventually(b.live, generous, often).Should(ConsistOf(ident.VM("a")))
	})

	It("let a stopped daemon go, a draining one only as an owner", func() {
		a, _ := startDaemon("a", nil)
		b, stop := startDaemon("b", nil, a.Address())
		Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b")))
		b.Drain()
		Eventually(a.live, generous, often).Should(BeEmpty())
		Expect(a.Members()[1]).To(And(HaveField("Connected", true), HaveField("Reason", "draining")))
		_, known := a.digests.of("b")
		Expect(known).To(BeTrue())
		stop()
		Eventually(func() bool { return a.Members()[1].Connected }, generous, often).Should(BeFalse())
	})

	It("take a configuration that is ahead, and the list's word on who leaves", func() {
		left := make(chan ident.Upstream, 9)
		a, _ := startDaemon("a", func(o *Options) { o.Config = newFakeConfig(7) })
		b, _ := startDaemon("b", func(o *Options) {
			o.VMs = fakeList{{Name: "a", Entry: true, DataCentre: "dc", PeerAddress: a.Address()}, {Name: "up", Leaving: true}}
			o.OnLeavingUpstream = func(name ident.Upstream) { left <- name }
		})
		Eventually(func() ident.Offset { return b.config.Current().AppliedOffset() }, generous, often).Should(BeEquivalentTo(7))
		Eventually(left, generous).Should(Receive(BeEquivalentTo("up")))
	})

	It("collect one time line and name who is missing", func() {
		a, _ := startDaemon("a", nil)
		b, _ := startDaemon("b", nil, a.Address())
		c, stop := startDaemon("c", nil, a.Address())
		Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b"), ident.VM("c")))
		for i := range 500 {
			b.events.Record("chunk", "r\xff", "t", "up", fmt.Sprint(i))
		}
		a.events.Record("answered", "r\xff", "t", "", "")
		stop()
		events, missing := a.CollectTimeline(context.Background(), timeline.Filter{Team: "t"})
		Expect(events).To(HaveLen(501))
		Expect(missing).To(ConsistOf(c.options.Self))
	})
})

var _ = Describe("forwarded steps", func() {
	var a *daemon
	var stopB func()
	ctx := context.Background()
	BeforeEach(func() {
		a, _ = startDaemon("a", nil)
		_, stopB = startDaemon("b", func(o *Options) {
			o.Steps = fakeSteps{completion: strings.Repeat("x", 3*maxMessage)}
			o.SilentAfter = 500 * time.Millisecond
		}, a.Address())
		Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b")))
	})

	It("run at the owner, bodies larger than a message among them", func() {
		request := rollouts.SubmitRequest{}
		for range 40 {
			request.Prompts = append(request.Prompts, rollout.Prompt{Text: strings.Repeat("p", 200_000)})
		}
		submitted, err := a.ForwardSubmit(ctx, "b", "t", "j", 4, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(submitted).To(Equal(rollouts.SubmitResponse{Job: "j", Step: 4, Groups: 40}))
		// The wait is longer than a silence that ends a connection.
		pulled, err := a.ForwardPull(ctx, "b", "t", "j", 4, rollouts.PullRequest{WaitMillis: 1200})
		Expect(err).NotTo(HaveOccurred())
		Expect(pulled.End).To(BeTrue())
		Expect(len(pulled.Job)).To(Equal(3*maxMessage + 1))
		Expect(a.ForwardCancel(ctx, "b", "t", "j", 4)).To(Succeed())
	})

	It("bring the owner's typed error back", func() {
		_, err := a.ForwardStatus(ctx, "b", "t", "j", 4)
		Expect(err).To(Equal(&rollouts.Error{Kind: rollouts.UnknownStep, Reason: "not here", RetryAfter: 2 * time.Second}))
	})

	// The owner is killed while a pull waits there. The trainer's daemon must see
	// an unreachable owner, never an answer cut short.
	It("fail as not reached when the owner goes", func() {
		result := make(chan error, 1)
		go func() {
			_, err := a.ForwardPull(ctx, "b", "t", "j", 4, rollouts.PullRequest{WaitMillis: 60_000})
			result <- err
		}()
		Consistently(result, 100*time.Millisecond, often).ShouldNot(Receive())
		stopB()
		var err error
		Eventually(result, generous).Should(Receive(&err))
		var typed *rollouts.Error
		Expect(errors.As(err, &typed)).To(BeFalse())
		Expect(err).To(MatchError(ErrTruncated))
		_, err = a.ForwardStatus(ctx, "nobody", "t", "j", 4)
		Expect(err).To(MatchError(ErrUnknownVM))
	})
})

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// These tests guard against requests that wait forever. A switch drops the state of the open
// connections while new ones work. Since TCP doesn't signal this while nothing is sent, only a
// timeout ends the wait. The tests run with the clock of synctest, over net.Pipe.

// newPipedClient returns a client whose connections are handled by serve, and which counts its
// dials.
func newPipedClient(o Options, dials *atomic.Int32, serve func(net.Conn)) *Client {
	o.Dial = func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		client, server := net.Pipe()
		go serve(server)
		return client, nil
	}
	return New(o)
}

// respondWith returns a function that handles the requests on a connection one by one. Each gets
// the next response after a second, written event by event; further requests get none.
func respondWith(responses ...string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, response := range responses {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(time.Second)
			for part := range strings.SplitAfterSeq(response, "\n\n") {
				_, _ = io.WriteString(conn, part)
			}
		}
		_, _ = io.Copy(io.Discard, reader)
	}
}

// unusedTarget has an address at which nothing listens.
var unusedTarget = Target{Name: "e1", Address: "127.0.0.1:1"}

func generate(c *Client, onChunk func(Chunk) error) error {
	return c.Generate(context.Background(), unusedTarget, GenerateRequest{ID: "r1"}, onChunk)
}

var postRequest = ServiceRequest{ID: "r1", Method: "POST", Path: "/", Body: []byte("b")}

func callWithinMinute(c *Client, r ServiceRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := c.Call(ctx, unusedTarget, r)
	return err
}

// runInBubble runs a sub-test in a synctest bubble, whose clock is simulated.
func runInBubble(name string, t *testing.T, body func(g *WithT)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { body(NewWithT(t)) })
	})
}

func TestSilentConnections(t *testing.T) {
	ignore := func(Chunk) error { return nil }
	ok := sizedResponse(200, "", "ok")
	var dials atomic.Int32

	runInBubble("a missing response header ends in a timeout", t, func(g *WithT) {
		start := time.Now()
		err := generate(newPipedClient(Options{}, &dials, respondWith()), ignore)
		g.Expect(err).To(failWith(Silent, outcome.Unknown))
		g.Expect(time.Since(start)).To(Equal(DefaultFirstByteTimeout))
	})
	runInBubble("a stream without progress ends in a timeout", t, func(g *WithT) {
		start := time.Now()
		err := generate(newPipedClient(Options{}, &dials, respondWith(unframedHeader+event("a", 1))), ignore)
		g.Expect(err).To(failWith(Silent, outcome.Unknown))
		g.Expect(time.Since(start)).To(Equal(time.Second + DefaultProgressTimeout))
	})
	runInBubble("a slow caller does not cause a timeout", t, func(g *WithT) {
		c := newPipedClient(Options{}, &dials, respondWith(unframedHeader+event("a", 1)+"data: [DONE]\n\n"))
		err := generate(c, func(Chunk) error {
			time.Sleep(time.Hour)
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		c.CloseIdle()
	})
	runInBubble("after a timeout on a reused connection, the next call opens a new one", t, func(g *WithT) {
		dials.Store(0)
		c := newPipedClient(Options{}, &dials, respondWith(ok))
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { g.Expect(callWithinMinute(c, postRequest)).To(Succeed()) })
		}
		wg.Wait()
		g.Expect(callWithinMinute(c, postRequest)).To(failWith(Silent, outcome.Unknown))
		g.Expect(dials.Load()).To(BeEquivalentTo(2), "the third call must reuse a connection")
		g.Expect(callWithinMinute(c, postRequest)).To(Succeed(), "the fourth call must not reuse the other connection")
		g.Expect(dials.Load()).To(BeEquivalentTo(3))
		c.CloseIdle()
	})
	runInBubble("an idle connection is closed after IdleTimeout", t, func(g *WithT) {
		dials.Store(0)
		c := newPipedClient(Options{}, &dials, respondWith(ok))
		for range 2 {
			g.Expect(callWithinMinute(c, postRequest)).To(Succeed())
			time.Sleep(2 * DefaultIdleTimeout)
		}
		g.Expect(dials.Load()).To(BeEquivalentTo(2))
	})
	runInBubble("a call that must not run twice waits until its deadline", t, func(g *WithT) {
		err := callWithinMinute(newPipedClient(Options{}, &dials, respondWith()), ServiceRequest{Method: "POST", Path: "/", NeverRetry: true})
		g.Expect(err).To(failWith(Cancelled, outcome.Unknown))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	})
	runInBubble("a call with FirstByteTimeout ends in a timeout", t, func(g *WithT) {
		request := ServiceRequest{Method: "GET", Path: "/", FirstByteTimeout: time.Second}
		g.Expect(callWithinMinute(newPipedClient(Options{}, &dials, respondWith()), request)).To(failWith(Silent, outcome.Unknown))
	})
	runInBubble("a response to a status query whose bytes come one by one ends in a timeout", t, func(g *WithT) {
		c := newPipedClient(Options{}, &dials, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
			for err == nil {
				time.Sleep(time.Second)
				_, err = io.WriteString(conn, " ")
			}
		})
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		_, err := c.Load(ctx, unusedTarget)
		g.Expect(err).To(failWith(Silent, outcome.Unknown))
		g.Expect(time.Since(start)).To(Equal(DefaultProgressTimeout))
		time.Sleep(2 * time.Second) // the upstream notices the closed connection
	})
	runInBubble("a dial that hangs ends in a timeout: the outcome is \"not run\"", t, func(g *WithT) {
		c := New(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		g.Expect(generate(c, ignore)).To(failWith(Refused, outcome.NotRun))
	})
}

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

// story: A switch forgets the open connections; new ones work. Requests on the
// old ones wait for ever, and so do the callers behind them. Cause: TCP says
// nothing while nobody sends, so only the wait itself can be bounded. These
// tests run on synctest's clock over net.Pipe.

// piped counts dials and gives each connection to serve.
func piped(o Options, dials *atomic.Int32, serve func(net.Conn)) *Client {
	o.Dial = func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		client, server := net.Pipe()
		go serve(server)
		return client, nil
	}
	return New(o)
}

// answers serves one request after the other; the n-th gets the n-th answer after a
// second, event by event, and those after the last get silence.
func answers(texts ...string) func(net.Conn) {
	return func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for _, text := range texts {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(time.Second)
			for part := range strings.SplitAfterSeq(text, "\n\n") {
				_, _ = io.WriteString(conn, part)
			}
		}
		_, _ = io.Copy(io.Discard, in)
	}
}

// target is where nobody listens.
var target = Target{Name: "e1", Address: "127.0.0.1:1"}

func generate(c *Client, onChunk func(Chunk) error) error {
	return c.Generate(context.Background(), target, GenerateRequest{ID: "r1"}, onChunk)
}

var plain = ServiceRequest{ID: "r1", Method: "POST", Path: "/", Body: []byte("b")}

func callIn(c *Client, r ServiceRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := c.Call(ctx, target, r)
	return err
}

func silentCase(name string, t *testing.T, body func(g *WithT)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { body(NewWithT(t)) })
	})
}

func TestSilentConnections(t *testing.T) {
	ignore := func(Chunk) error { return nil }
	ok := sized(200, "", "ok")
	var dials atomic.Int32

	silentCase("no first byte", t, func(g *WithT) {
		start := time.Now()
		err := generate(piped(Options{}, &dials, answers()), ignore)
		g.Expect(err).To(failAs(Silent, outcome.Unknown))
		g.Expect(time.Since(start)).To(Equal(DefaultFirstByteTimeout))
	})
	silentCase("silence in mid-stream", t, func(g *WithT) {
		start := time.Now()
		err := generate(piped(Options{}, &dials, answers(unframed+event("a", 1))), ignore)
		g.Expect(err).To(failAs(Silent, outcome.Unknown))
		g.Expect(time.Since(start)).To(Equal(time.Second + DefaultProgressTimeout))
	})
	silentCase("a slow caller isn't a silent engine", t, func(g *WithT) {
		c := piped(Options{}, &dials, answers(unframed+event("a", 1)+"data: [DONE]\n\n"))
		err := generate(c, func(Chunk) error {
			time.Sleep(time.Hour)
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		c.CloseIdle()
	})
	silentCase("a reused connection, the next call dials", t, func(g *WithT) {
		dials.Store(0)
		c := piped(Options{}, &dials, answers(ok))
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { g.Expect(callIn(c, plain)).To(Succeed()) })
		}
		both.Wait()
		g.Expect(callIn(c, plain)).To(failAs(Silent, outcome.Unknown))
		g.Expect(dials.Load()).To(BeEquivalentTo(2), "it was a reused connection")
		g.Expect(callIn(c, plain)).To(Succeed(), "it didn't meet the other one")
		g.Expect(dials.Load()).To(BeEquivalentTo(3))
		c.CloseIdle()
	})
	silentCase("an idle connection is closed before it can go silent", t, func(g *WithT) {
		dials.Store(0)
		c := piped(Options{}, &dials, answers(ok))
		for range 2 {
			g.Expect(callIn(c, plain)).To(Succeed())
			time.Sleep(2 * DefaultIdleTimeout)
		}
		g.Expect(dials.Load()).To(BeEquivalentTo(2))
	})
	silentCase("what may not run twice waits to its deadline", t, func(g *WithT) {
		err := callIn(piped(Options{}, &dials, answers()), ServiceRequest{Method: "POST", Path: "/", NeverRetry: true})
		g.Expect(err).To(failAs(Cancelled, outcome.Unknown))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	})
	silentCase("a frozen service whose caller says how long a wait is silence", t, func(g *WithT) {
		frozen := ServiceRequest{Method: "GET", Path: "/", FirstByteTimeout: time.Second}
		g.Expect(callIn(piped(Options{}, &dials, answers()), frozen)).To(failAs(Silent, outcome.Unknown))
	})
	silentCase("a dial that hangs: nothing ran", t, func(g *WithT) {
		c := New(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		g.Expect(generate(c, ignore)).To(failAs(Refused, outcome.NotRun))
	})
}

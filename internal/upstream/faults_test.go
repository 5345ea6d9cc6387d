package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Guards against wrong outcomes: "not run" for a request that the engine ran, so that the caller
// repeats it elsewhere; "ran" for a request that was never sent; and a partial response, or that
// of another request, that counts as complete. They come about if the fault is derived from the
// text of an error instead of from the bytes that were sent and received.
var _ = Describe("Generate, when the engine", func() {
	const endMarker = "data: [DONE]\n\n"
	chunk := event("a", 7)

	DescribeTable("fails", func(ctx SpecContext, response string, end func(*net.TCPConn), f Fault, o outcome.Outcome, want string) {
		got := ""
		err := New(withoutTimeouts).Generate(ctx, scriptedUpstream(response, end), GenerateRequest{ID: "r1"}, func(c Chunk) error {
			got += c.Text
			return nil
		})
		Expect(err).To(failWith(f, o))
		Expect(got).To(Equal(want), "text that was passed on before the fault")
	},
		Entry("reports that the request was not run", sizedResponse(503, "X-Not-Run: true\r\n", ""), closeConn, Rejected, outcome.NotRun, ""),
		Entry("responds with 503 and nothing else", sizedResponse(503, "", ""), closeConn, Status, outcome.Ran, ""),
		Entry("responds with 500", sizedResponse(500, "X-Request-Id: r1\r\n", "broke"), closeConn, Status, outcome.Ran, ""),
		Entry("redirects", sizedResponse(307, "Location: /v1/completions\r\n", ""), closeConn, Status, outcome.Ran, ""),
		Entry("closes the connection after the request", "", closeConn, Reset, outcome.Unknown, ""),
		Entry("resets the connection after the request", "", resetConn, Reset, outcome.Unknown, ""),
		Entry("closes the connection within the header", "HTTP/1.1 200 OK\r\nContent-", closeConn, Reset, outcome.Unknown, ""),
		Entry("closes the connection within the stream", strings.TrimSuffix(streamResponse("r1", chunk+chunk), "\r\n0\r\n\r\n"), closeConn, Truncated, outcome.Unknown, "aa"),
		Entry("ends the body correctly, but without an end marker", streamResponse("r1", chunk), closeConn, Truncated, outcome.Unknown, "a"),
		Entry("truncates the end marker", streamResponse("r1", chunk+"data: [DONE]\n"), closeConn, Truncated, outcome.Unknown, "a"),
		Entry("ends within an event", streamResponse("r1", chunk+chunk[:20]), closeConn, Truncated, outcome.Unknown, "a"),
		Entry("names another request in the header", streamResponse("r2", chunk+endMarker), closeConn, Crossed, outcome.Unknown, ""),
		Entry("names no request in the header", streamResponse("", chunk+endMarker), closeConn, Crossed, outcome.Unknown, ""),
		Entry("rejects another request", sizedResponse(503, "X-Not-Run: true\r\nX-Request-Id: r2\r\n", ""), closeConn, Crossed, outcome.Unknown, ""),
		Entry("sends a chunk of another request", streamResponse("r1", strings.ReplaceAll(chunk, "r1", "r2")+endMarker), closeConn, Crossed, outcome.Unknown, ""),
		Entry("leaves the request ID out of a chunk", streamResponse("r1", strings.ReplaceAll(chunk, `"id":"r1",`, "")+endMarker), closeConn, Crossed, outcome.Unknown, ""),
		Entry("sends tokens without a version", streamResponse("r1", event("a", 0)+endMarker), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends text without a version", streamResponse("r1", `data: {"id":"r1","choices":[{"text":"a"}]}`+"\n\n"+endMarker), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends a negative token count", streamResponse("r1", strings.Replace(chunk, `"tokens":1`, `"tokens":-1`, 1)+endMarker), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends invalid JSON", streamResponse("r1", "data: {\n\n"+endMarker), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends an unknown field name", streamResponse("r1", "dat"+chunk+endMarker), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends comments without end", streamResponse("r1", chunk+strings.Repeat(": x\n\n", 400)), closeConn, Malformed, outcome.Unknown, "a"),
		Entry("sends empty lines without end", streamResponse("r1", chunk+strings.Repeat("\n", 2<<10)), closeConn, Malformed, outcome.Unknown, "a"),
		Entry("sends an endless line", streamResponse("r1", "data: "+strings.Repeat("x", 40<<10)), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends an endless event", streamResponse("r1", strings.Repeat("data: x\n", 1<<10)), closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends a response that is no event stream", sizedResponse(200, "X-Request-Id: r1\r\n", "{}"), closeConn, Malformed, outcome.Unknown, ""),
		Entry("does not speak HTTP", "SSH-2.0-x\r\n\r\n", closeConn, Malformed, outcome.Unknown, ""),
		Entry("sends an endless header", "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 1<<20), closeConn, Malformed, outcome.Unknown, ""),
	)

	It("is not reachable", func(ctx SpecContext) {
		Expect(New(withoutTimeouts).Generate(ctx, unusedTarget, GenerateRequest{ID: "r1"}, nil)).To(failWith(Refused, outcome.NotRun))
	})

	It("is still being dialled when the caller cancels: the outcome is \"not run\"", func(ctx SpecContext) {
		cancelled, cancel := context.WithCancel(ctx)
		o := withoutTimeouts
		o.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		err := New(o).Generate(cancelled, unusedTarget, GenerateRequest{ID: "r1"}, nil)
		Expect(err).To(failWith(Cancelled, outcome.NotRun))
		Expect(err).To(MatchError(context.Canceled))
	})

	It("is still streaming when the caller cancels or fails: the connection is closed", func(ctx SpecContext) {
		ended := make(chan error, 1)
		t := scriptedUpstream(unframedHeader+chunk, func(conn *net.TCPConn) {
			_, err := conn.Read(make([]byte, 1))
			ended <- err
		})
		cancelled, cancel := context.WithCancel(ctx)
		err := New(withoutTimeouts).Generate(cancelled, t, GenerateRequest{ID: "r1"}, func(Chunk) error {
			cancel()
			return nil
		})
		Expect(err).To(failWith(Cancelled, outcome.Unknown))
		Eventually(ended).WithContext(ctx).Should(Receive(HaveOccurred()))

		errStop := errors.New("stop")
		err = New(withoutTimeouts).Generate(ctx, t, GenerateRequest{ID: "r1"}, func(Chunk) error { return errStop })
		Expect(err).To(failWith(Cancelled, outcome.Unknown))
		Expect(err).To(MatchError(errStop))
		Eventually(ended).WithContext(ctx).Should(Receive(HaveOccurred()))
	}, SpecTimeout(time.Minute))

	It("switches weights within a stream: each chunk has its version, and chunks of different versions are not merged", func(ctx SpecContext) {
		body := event("a", 7) + event("b", 7) + event("c", 8) + ": ping\n\n" + event("d", 8) + endMarker
		var chunks []Chunk
		err := New(withoutTimeouts).Generate(ctx, scriptedUpstream(streamResponse("r1", body), closeConn), GenerateRequest{ID: "r1"}, func(c Chunk) error {
			chunks = append(chunks, c)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks).To(Equal([]Chunk{
			{Text: "ab", Tokens: 2, Version: 7}, {Text: "c", Tokens: 1, Version: 8}, {Text: "d", Tokens: 1, Version: 8},
		}))
	})
})

// Guards against a truncated response of a service that counts as complete, which happens if the
// end of the connection is taken for the end of the body.
var _ = Describe("Call", func() {
	call := func(ctx context.Context, response string) (*ServiceResponse, error) {
		return New(withoutTimeouts).Call(ctx, scriptedUpstream(response, closeConn), ServiceRequest{ID: "r1", Method: "POST", Path: "/x", Body: []byte("b"), NeverRetry: true})
	}

	DescribeTable("rejects a response", func(ctx SpecContext, response string, f Fault, o outcome.Outcome) {
		_, err := call(ctx, response)
		Expect(err).To(failWith(f, o))
	},
		Entry("shorter than its stated length", strings.TrimSuffix(sizedResponse(200, "", "hello"), "lo"), Truncated, outcome.Unknown),
		Entry("without its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", Truncated, outcome.Unknown),
		Entry("whose end is not marked", "HTTP/1.1 200 OK\r\n\r\nhello", Truncated, outcome.Unknown),
		Entry("above the size limit", sizedResponse(200, "", strings.Repeat("x", 2<<10)), Malformed, outcome.Unknown),
		Entry("to another request", sizedResponse(200, "X-Request-Id: r2\r\n", "hello"), Crossed, outcome.Unknown),
	)

	It("reports a rejection, the wait before a retry, and that the service is leaving", func(ctx SpecContext) {
		_, err := call(ctx, sizedResponse(503, "X-Not-Run: true\r\nRetry-After: 3\r\nX-Leaving: true\r\n", ""))
		Expect(err).To(SatisfyAll(failWith(Rejected, outcome.NotRun), HaveField("RetryAfter", 3*time.Second), HaveField("Leaving", true)))
		Expect(parseRetryAfter(http.Header{
			"Date": {"Wed, 02 Dec 2026 10:00:00 GMT"}, "Retry-After": {"Wed, 02 Dec 2026 10:00:09 GMT"},
		})).To(Equal(9 * time.Second))
	})

	It("forwards the call byte for byte, without the headers of the connection", func(ctx SpecContext) {
		body := "\x00\xff\r\n{}"
		received := make(chan *http.Request, 1)
		t := startUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Keep-Alive", "timeout=5")
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.Copy(w, r.Body)
			received <- r
		})
		header := http.Header{"Connection": {"x-hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Authorization": {"Bearer k"}, "X-Kept": {"1", "2"}, "Idempotency-Key": {"k1"}}
		resp, err := New(withoutTimeouts).Call(ctx, t, ServiceRequest{ID: "r1", Method: "PUT", Path: "/a%2Fb?c=%20d", Header: header, Body: []byte(body)})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Status).To(Equal(http.StatusTeapot))
		Expect(resp.Header).NotTo(HaveKey("Keep-Alive"))
		Expect(string(resp.Body)).To(Equal(body))
		req := <-received
		Expect(req.RequestURI).To(Equal("/a%2Fb?c=%20d"))
		Expect(req.Header).To(Equal(http.Header{
			"X-Request-Id": {"r1"}, "X-Kept": {"1", "2"}, "Idempotency-Key": {"k1"},
			"User-Agent": {defaultUserAgent}, "Content-Length": {"6"},
		}))
	})
})

var _ = Describe("Score, Load, CacheEvents and Order", func() {
	DescribeTable("report faults", func(ctx SpecContext, call func(context.Context, *Client, Target) error, response string, f Fault, o outcome.Outcome) {
		Expect(call(ctx, New(withoutTimeouts), scriptedUpstream(response, closeConn))).To(failWith(f, o))
	},
		Entry("Score, for another request", scoreCall, sizedResponse(200, "", `{"id":"r2","reward":1}`), Crossed, outcome.Unknown),
		Entry("Score, no reward", scoreCall, sizedResponse(200, "", `{"id":"r1"}`), Malformed, outcome.Unknown),
		Entry("Load, the response to another request", loadCall, sizedResponse(200, "X-Request-Id: r2\r\n", `{}`), Crossed, outcome.Unknown),
		Entry("Load, the rejection of another request", loadCall, sizedResponse(503, "X-Request-Id: r2\r\nX-Not-Run: true\r\n", ""), Crossed, outcome.Unknown),
		Entry("Order, fencing number too low", orderCall, sizedResponse(409, "", `{"highest_fence":9}`), Rejected, outcome.NotRun),
		Entry("Order, failed", orderCall, sizedResponse(500, "", `{}`), Status, outcome.Ran),
		Entry("Order, no response", orderCall, "", Reset, outcome.Unknown),
	)

	It("return the result of the upstream", func(ctx SpecContext) {
		var leaving []string
		o := withoutTimeouts
		o.OnLeaving = func(name ident.Upstream) { leaving = append(leaving, string(name)) }
		c := New(o)
		load := scriptedUpstream(sizedResponse(200, "X-Leaving: true\r\n", `{"running":3}`), closeConn)
		Expect(c.Load(ctx, load)).To(Equal(wire.LoadReport{Running: 3, Leaving: true}))
		Expect(leaving).To(Equal([]string{"e1"}))

		result, err := c.Order(ctx, scriptedUpstream(sizedResponse(409, "", `{"highest_fence":9}`), closeConn), wire.Order{})
		Expect(err).To(HaveOccurred())
		Expect(result.HighestFence).To(BeEquivalentTo(9))

		events := scriptedUpstream(sizedResponse(200, "", `{"next":4}`), closeConn)
		Expect(c.CacheEvents(ctx, events, 3)).To(Equal(wire.CacheEventPage{Next: 4}))
	})
})

func scoreCall(ctx context.Context, c *Client, t Target) error {
	_, err := c.Score(ctx, t, "r1", "p", "c")
	return err
}

func loadCall(ctx context.Context, c *Client, t Target) error {
	_, err := c.Load(ctx, t)
	return err
}

func orderCall(ctx context.Context, c *Client, t Target) error {
	_, err := c.Order(ctx, t, wire.Order{Fence: 8})
	return err
}

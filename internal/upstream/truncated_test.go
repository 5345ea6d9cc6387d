package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Guards against a response that breaks off at any byte and counts as a result, or as a statement
// on whether the upstream ran the request.
var _ = Describe("A truncated response", func() {
	const end = "data: [DONE]\n\n"
	generated := func(ctx context.Context, c *Client, t Target) error {
		got := ""
		err := c.Generate(ctx, t, GenerateRequest{ID: "r1"}, func(chunk Chunk) error {
			got += chunk.Text
			return nil
		})
		Expect("ab").To(HavePrefix(got))
		return err
	}
	served := func(ctx context.Context, c *Client, t Target) error {
		_, err := c.Call(ctx, t, postRequest)
		return err
	}
	cached := func(ctx context.Context, c *Client, t Target) error {
		_, err := c.CacheEvents(ctx, t, 0)
		return err
	}
	// needed is what the response must have to say what it says, "": all.
	DescribeTable("is a fault with an unknown outcome", func(ctx SpecContext, call func(context.Context, *Client, Target) error, response, needed string) {
		var sent atomic.Int64
		var reset atomic.Bool
		t := startUpstream(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, response[:sent.Load()])
			if reset.Load() {
				resetConn(conn.(*net.TCPConn))
			}
		})
		length := strings.LastIndex(response, needed) + len(needed)
		for n := range length {
			for _, byReset := range []bool{false, true} {
				sent.Store(int64(n))
				reset.Store(byReset)
				Expect(call(ctx, New(withoutTimeouts), t)).To(SatisfyAll(HaveField("Outcome", outcome.Unknown), HaveField("Fault", BeElementOf(Reset, Truncated))), "reset %v, after %q", byReset, response[:n])
			}
		}
	},
		Entry("of a completion", generated, streamResponse("r1", event("a", 7)+event("b", 7)+end), end),
		Entry("of a completion after an informational one", generated, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+streamResponse("r1", event("a", 7)+end), end),
		Entry("of a completion that ends with its connection", generated, unframedHeader+event("a", 7)+end, end),
		Entry("of a service", served, sizedResponse(200, "X-Request-Id: r1\r\n", "hello"), ""),
		Entry("of a service in chunks", served, streamResponse("r1", "hello"), ""),
		Entry("of a service over HTTP/1.0", served, strings.Replace(sizedResponse(200, "", "hello"), "1.1", "1.0", 1), ""),
		Entry("of a service that ends with its connection", served, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhello", ""),
		Entry("of a service that refuses", served, sizedResponse(503, "X-Not-Run: true\r\nRetry-After: 3\r\n", ""), ""),
		Entry("of a service that fails", served, sizedResponse(500, "X-Request-Id: r1\r\n", "broke"), ""),
		Entry("of a scorer", scoreCall, sizedResponse(200, "", `{"id":"r1","reward":1}`), ""),
		Entry("of a status query", loadCall, sizedResponse(200, "", `{"running":3}`), ""),
		Entry("of a query of the cache", cached, sizedResponse(200, "", `{"next":4}`), ""),
		Entry("of an order", orderCall, sizedResponse(200, "", `{"highest_fence":9}`), ""),
		Entry("of an order that is fenced", orderCall, sizedResponse(409, "", `{"highest_fence":9}`), ""),
	)
})

package httpapi_test

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

func dial(server *httptest.Server) *net.TCPConn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	return conn.(*net.TCPConn)
}

var _ = Describe("streamed completions", func() {
	// A caller streams, the only engine crashes after two chunks and no other
	// may go on. A client that reads to the end of the body and doesn't look
	// for the end mark must see a failed read, not a short answer.
	breakOff := func(onChunk func(upstream.Chunk) error) (dispatch.Completion, error) {
		err := errors.Join(onChunk(upstream.Chunk{Text: "one", Tokens: 1, Version: 7}), onChunk(upstream.Chunk{Text: "two", Tokens: 1, Version: 7}))
		Expect(err).NotTo(HaveOccurred())
		return dispatch.Completion{}, &dispatch.Error{Reason: dispatch.ReasonUpstreamFailed, Outcome: outcome.Unknown}
	}
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		It("breaks off recognisably in mid-stream over "+protocol, func() {
			w := newWorld()
			w.generate = breakOff
			server := httptest.NewUnstartedServer(w.port("caller"))
			server.EnableHTTP2 = protocol == "HTTP/2.0"
			server.StartTLS()
			defer server.Close()
			req, _ := http.NewRequest("POST", server.URL+completions, strings.NewReader(`{"model":"drafts","prompt":"x","stream":true}`))
			req.Header.Set("Authorization", "Bearer "+caller)
			res, err := server.Client().Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			Expect(res.Proto).To(Equal(protocol))
			body, err := io.ReadAll(res.Body)
			Expect(err).To(HaveOccurred())
			Expect(string(body)).To(And(ContainSubstring(`"text":"two"`), ContainSubstring(`"outcome":"unknown"`), Not(ContainSubstring("[DONE]"))))
		})
	}

	// An HTTP/1.0 client takes the end of the connection for the end of the body.
	DescribeTable("breaks off recognisably in mid-stream over HTTP/1.0", func(start func(*httptest.Server), dial func(*httptest.Server) net.Conn) {
		w := newWorld()
		w.generate = breakOff
		server := httptest.NewUnstartedServer(w.port("caller"))
		start(server)
		defer server.Close()
		conn := dial(server)
		defer func() { _ = conn.Close() }()
		const body = `{"model":"drafts","prompt":"x","stream":true}`
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", completions, caller, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		read, err := io.ReadAll(res.Body)
		Expect(err).To(HaveOccurred(), "%s", read)
	},
		Entry("in the clear", (*httptest.Server).Start, func(s *httptest.Server) net.Conn { return dial(s) }),
		Entry("with TLS", (*httptest.Server).StartTLS, func(s *httptest.Server) net.Conn {
			config := s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
			config.ServerName = "example.com"
			return tls.Client(dial(s), config)
		}),
	)

	It("gives a failure before the first chunk its own status", func() {
		w := newWorld()
		w.generate = func(func(upstream.Chunk) error) (dispatch.Completion, error) {
			return dispatch.Completion{}, &dispatch.Error{Reason: dispatch.ReasonNoUpstream, Outcome: outcome.NotRun}
		}
		rec := w.send("caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","stream":true}`)
		Expect(problemIn(rec).Status).To(Equal(http.StatusServiceUnavailable))
	})

	It("ends a whole stream with the end mark", func() {
		rec := newWorld().send("caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","stream":true}`)
		Expect(rec.Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
	})
})

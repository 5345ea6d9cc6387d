package httpapi_test

import (
	"errors"
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
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		It("breaks off recognisably in mid-stream over "+protocol, func() {
			w := newWorld()
			w.generate = func(onChunk func(upstream.Chunk) error) (dispatch.Completion, error) {
				err := errors.Join(onChunk(upstream.Chunk{Text: "one", Tokens: 1, Version: 7}), onChunk(upstream.Chunk{Text: "two", Tokens: 1, Version: 7}))
				Expect(err).NotTo(HaveOccurred())
				return dispatch.Completion{}, &dispatch.Error{Reason: dispatch.ReasonUpstreamFailed, Outcome: outcome.Unknown}
			}
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

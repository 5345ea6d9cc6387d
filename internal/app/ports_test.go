package app

import (
	"bufio"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

// A daemon begins to stop while a caller's connection is idle. The caller, who
// can't know yet, sends a request on it at that moment. A daemon that closes idle
// connections then cuts the request off: "connection closed", outcome unknown.
var _ = Describe("a port that is about to close", func() {
	It("still answers on a connection that was idle, and ends it with that answer", func() {
		hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
		p := newPort("caller", "127.0.0.1:0", hello, &settings.Daemon{}, zerolog.Nop())
		Expect(p.listen()).To(Succeed())
		go p.serve()
		DeferCleanup(p.server.Close)
		conn, err := net.Dial("tcp", p.listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		in := bufio.NewReader(conn)
		ask := func() *http.Response {
			GinkgoHelper()
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: d\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			answer, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(answer.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("hello"))
			return answer
		}
		Expect(ask().Close).To(BeFalse())
		p.endConnections()
		Expect(ask().Close).To(BeTrue())
		_, err = in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})

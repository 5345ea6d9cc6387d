package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExchange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exchange")
}

// Guards against requests that run twice. A keep-alive connection breaks while a request is
// written to it; the service runs the request, but the response is lost. net/http then sends
// the request again on a new connection by itself, since it treats a GET, and any request
// with an Idempotency-Key, as replayable if the body can be read again.
var _ = Describe("Sender, with the automatic retries of net/http,", func() {
	type sendFunc func(context.Context, Request) error

	withSender := func(opts SendOptions) sendFunc {
		s := NewSender(Options{DialTimeout: time.Minute, IdleTimeout: time.Minute})
		return func(ctx context.Context, r Request) error {
			resp, err := s.Send(ctx, r, opts)
			if err != nil {
				return err
			}
			defer resp.Close()
			_, err = resp.ReadAll(1 << 10)
			return err
		}
	}
	withNetHTTP := func(ctx context.Context, r Request) error {
		req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
		Expect(err).NotTo(HaveOccurred())
		req.Header = r.Header
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Body.Close()
	}
	// countArrivals sends a warm-up request and then the measured request, whose connection
	// the server closes. It returns how often the measured request arrived, and whether it
	// arrived on the connection of the warm-up request.
	countArrivals := func(ctx context.Context, send sendFunc, reset bool, method, key, body string) (int, bool, error) {
		server := &closingServer{reset: reset}
		server.Server = httptest.NewServer(http.HandlerFunc(server.handle))
		defer server.Close()
		Expect(send(ctx, request(server.URL, "warm", http.MethodPost, "", "x"))).To(Succeed())
		err := send(ctx, request(server.URL, "call", method, key, body))
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.arrivals, server.reused, err
	}

	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for _, body := range []string{"", "body"} {
				It("sends "+method+" "+key+" "+body+" once", func(ctx SpecContext) {
					for _, reset := range []bool{false, true} {
						for _, newConn := range []bool{false, true} {
							count, reused, err := countArrivals(ctx, withSender(SendOptions{NewConn: newConn}), reset, method, key, body)
							Expect(err).To(HaveField("Sent", true))
							Expect(count).To(Equal(1))
							Expect(reused && newConn).To(BeFalse())
						}
					}
				})
			}
		}
	}

	It("reuses a connection in these tests, and net/http alone sends the request twice", func(ctx SpecContext) {
		_, reused, _ := countArrivals(ctx, withSender(SendOptions{}), false, http.MethodPost, "Idempotency-Key", "body")
		Expect(reused).To(BeTrue())

		count, _, _ := countArrivals(ctx, withNetHTTP, false, http.MethodPost, "Idempotency-Key", "body")
		Expect(count).To(Equal(2), "net/http without singleUseBody")
		count, _, _ = countArrivals(ctx, withNetHTTP, false, http.MethodGet, "", "")
		Expect(count).To(Equal(2), "net/http without singleUseBody")
	})
})

func request(url, id, method, key, body string) Request {
	header := http.Header{"X-Request-Id": {id}}
	if key != "" {
		header.Set(key, "k1")
	}
	return Request{URL: url, Method: method, Header: header, Body: []byte(body)}
}

// closingServer responds to requests, except that it reads the request "call" to its end and
// closes the connection without a response each time. Requests come one after the other; mu
// is for the race detector, which can't see that.
type closingServer struct {
	*httptest.Server
	reset bool // close by a TCP reset

	mu         sync.Mutex
	warmUpAddr string // client address of the warm-up request
	arrivals   int    // of the request "call"
	reused     bool   // the request "call" arrived on the connection of the warm-up request
}

func (s *closingServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Request-Id") != "call" {
		s.warmUpAddr = r.RemoteAddr
		return
	}
	s.arrivals++
	s.reused = s.reused || r.RemoteAddr == s.warmUpAddr
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

var _ = Describe("a connection without writes", func() {
	It("rejects writes once nothing was reported as sent", func() {
		pipe, _ := net.Pipe()
		Expect(pipe.Close()).To(Succeed())
		conn := &trackedConn{Conn: pipe}
		Expect(conn.disableWritesIfUnwritten(0)).To(BeTrue())
		_, err := conn.Write([]byte("late"))
		Expect(err).To(MatchError(errWritesDisabled), "the pipe's own error would mean that the write reached it")

		conn = &trackedConn{Conn: pipe}
		_, err = conn.Write([]byte("x"))
		Expect(err).To(HaveOccurred())
		Expect(conn.disableWritesIfUnwritten(0)).To(BeFalse(), "a failed write may have sent a part")
	})
})

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

// story: A service's keep-alive connection dies just as a call is written to it.
// The service has read the call and runs it; the caller sees no answer. net/http
// then sends the call again on a new connection, by itself, and the service runs
// it twice. Cause: a GET, or any call with an Idempotency-Key, counts as
// replayable for net/http when it can have the body again.
var _ = Describe("net/http's silent retry", func() {
	type send func(context.Context, Request) error

	guarded := func(plan Plan) send {
		s := NewSender(Options{DialTimeout: time.Minute, IdleTimeout: time.Minute})
		return func(ctx context.Context, r Request) error {
			answer, err := s.Send(ctx, r, plan)
			if err != nil {
				return err
			}
			defer answer.Close()
			_, err = answer.Whole(1 << 10)
			return err
		}
	}
	naive := func(ctx context.Context, r Request) error {
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
	// arrivals sends a warm-up and then the call, whose connection dies.
	arrivals := func(ctx context.Context, s send, reset bool, method, key, body string) (int, bool, error) {
		server := &dyingServer{reset: reset}
		server.Server = httptest.NewServer(http.HandlerFunc(server.handle))
		defer server.Close()
		Expect(s(ctx, request(server.URL, "warm", http.MethodPost, "", "x"))).To(Succeed())
		err := s(ctx, request(server.URL, "call", method, key, body))
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.count, server.reused, err
	}

	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for _, body := range []string{"", "body"} {
				It("sends "+method+" "+key+" "+body+" once", func(ctx SpecContext) {
					for _, reset := range []bool{false, true} {
						for _, fresh := range []bool{false, true} {
							count, reused, err := arrivals(ctx, guarded(Plan{Fresh: fresh}), reset, method, key, body)
							Expect(err).To(HaveField("Sent", true))
							Expect(count).To(Equal(1))
							Expect(reused && fresh).To(BeFalse())
						}
					}
				})
			}
		}
	}

	It("meets a reused connection in this test, and is seen without the guard", func(ctx SpecContext) {
		_, reused, _ := arrivals(ctx, guarded(Plan{}), false, http.MethodPost, "Idempotency-Key", "body")
		Expect(reused).To(BeTrue())

		count, _, _ := arrivals(ctx, naive, false, http.MethodPost, "Idempotency-Key", "body")
		Expect(count).To(Equal(2), "red: net/http as it comes")
		count, _, _ = arrivals(ctx, naive, false, http.MethodGet, "", "")
		Expect(count).To(Equal(2), "red: net/http as it comes")
	})
})

func request(url, id, method, key, body string) Request {
	header := http.Header{"X-Request-Id": {id}}
	if key != "" {
		header.Set(key, "k1")
	}
	return Request{URL: url, Method: method, Header: header, Body: []byte(body)}
}

// dyingServer answers requests, but reads the request "call" to its end and closes
// the connection without an answer, each time it comes. It is used by one request
// after the other; mu is for the race detector, which can't see that.
type dyingServer struct {
	*httptest.Server
	reset bool

	mu     sync.Mutex
	warm   string // the client's address at the warm-up
	count  int
	reused bool
}

func (s *dyingServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Request-Id") != "call" {
		s.warm = r.RemoteAddr
		return
	}
	s.count++
	s.reused = s.reused || r.RemoteAddr == s.warm
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

var _ = Describe("a connection that nothing was written to", func() {
	It("is sealed by the question, so that \"not sent\" stays true", func() {
		near, _ := net.Pipe()
		Expect(near.Close()).To(Succeed())
		conn := &trackedConn{Conn: near}
		Expect(conn.sealIfUnwritten(0)).To(BeTrue())
		_, err := conn.Write([]byte("late"))
		Expect(err).To(MatchError(errSealed), "not the pipe's error: it wasn't asked")

		conn = &trackedConn{Conn: near}
		_, err = conn.Write([]byte("x"))
		Expect(err).To(HaveOccurred())
		Expect(conn.sealIfUnwritten(0)).To(BeFalse(), "a write that failed may have sent a part")
	})
})

package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// truncatingServer answers requests with a prefix of a response and closes the connection.
type truncatingServer struct {
	net.Listener

	mu       sync.Mutex
	response string
	reset    bool // close by a TCP reset
	warm     bool // the first response on each connection is complete
}

func newTruncatingServer(t *testing.T) *truncatingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := &truncatingServer{Listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

func (s *truncatingServer) set(response string, reset, warm bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response, s.reset, s.warm = response, reset, warm
}

func (s *truncatingServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		response, reset, warm := s.response, s.reset, s.warm
		s.mu.Unlock()
		if warm && first {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Warm: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.WriteString(conn, response)
		if reset {
			_ = conn.SetLinger(0)
		}
		return
	}
}

// Guards against a response that breaks off at any byte and is taken for a complete one, or, once
// it has begun, for the close of an idle connection.
func TestTruncatedResponses(t *testing.T) {
	const (
		length  = "X-A: b\r\nContent-Length: 12\r\n\r\nhello world!"
		chunked = "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5;x=y\r\nhello\r\n07\r\n world!\r\n0\r\nX-T: a\r\n\r\n"
		byClose = "X-A: b\r\n\r\nhello world!"
	)
	for _, c := range []struct {
		name, response string
		framed         bool
	}{
		{"length", "HTTP/1.1 200 OK\r\n" + length, true},
		{"chunked", "HTTP/1.1 200 OK\r\n" + chunked, true},
		{"by close", "HTTP/1.1 200 OK\r\n" + byClose, false},
		{"HTTP/1.0, length", "HTTP/1.0 200 OK\r\n" + length, true},
		{"HTTP/1.0, chunked", "HTTP/1.0 200 OK\r\n" + chunked, false},
		{"HTTP/1.0, by close", "HTTP/1.0 200 OK\r\n" + byClose, false},
		{"after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + length, true},
		{"after 103", "HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + chunked, true},
		{"no body", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", true},
		{"bare line feeds", "HTTP/1.1 200 OK\nX-A: b\n  folded\nContent-Length: 2\n\nok", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := newTruncatingServer(t)
			for _, reset := range []bool{false, true} {
				for _, reused := range []bool{false, true} {
					for n := range len(c.response) {
						server.set(c.response[:n], reset, reused)
						_, err := sendToTruncating(server)
						if wrong := checkTruncated(err, n, headerLength(c.response), reused); wrong != "" {
							t.Errorf("reset %v, reused %v, after %q: %s", reset, reused, c.response[:n], wrong)
						}
					}
				}
			}
			server.set(c.response, false, true)
			body, err := sendToTruncating(server)
			NewWithT(t).Expect(err == nil).To(Equal(c.framed), "complete response: %q, %v", body, err)
		})
	}
}

// sendToTruncating sends requests until one isn't answered by the first response of a warm
// connection, and reads the response to that one.
func sendToTruncating(server *truncatingServer) (string, error) {
	s := NewSender(Options{DialTimeout: time.Minute, IdleTimeout: time.Minute})
	defer s.CloseIdle()
	for {
		resp, err := s.Send(context.Background(), Request{Method: http.MethodPost, URL: "http://" + server.Addr().String(), Body: []byte("x")}, SendOptions{})
		if err != nil {
			return "", err
		}
		data, err := resp.ReadAll(1 << 10)
		resp.Close()
		if err != nil || resp.Header.Get("X-Warm") == "" {
			return string(data), err
		}
	}
}

// headerLength returns the length of a response up to the end of its last header.
func headerLength(response string) int {
	last := strings.LastIndex(response, "HTTP/")
	return last + len(regexp.MustCompile(`(?s)^.*?\r?\n\r?\n`).FindString(response[last:]))
}

// checkTruncated returns what is wrong with the failure after n bytes of a response, "" if nothing is.
func checkTruncated(err error, n, header int, reused bool) string {
	f, ok := err.(*Failure)
	switch {
	case !ok:
		return fmt.Sprintf("error %v", err)
	case !f.Sent || (f.Kind != Reset && f.Kind != Truncated):
		return fmt.Sprintf("sent %v, kind %v: %v", f.Sent, f.Kind, err)
	case n < header && (f.Kind != Reset || f.Reused != reused):
		return fmt.Sprintf("header incomplete, kind %v, reused %v: %v", f.Kind, f.Reused, err)
	case f.StaleConn() != (reused && n == 0):
		return fmt.Sprintf("stale connection %v: %v", f.StaleConn(), err)
	}
	return ""
}

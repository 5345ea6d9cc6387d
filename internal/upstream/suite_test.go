package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// withoutTimeouts are options whose timeouts are longer than any test, with low size limits.
var withoutTimeouts = Options{
	DialTimeout: time.Minute, FirstByteTimeout: time.Minute, ProgressTimeout: time.Minute,
	MaxEventBytes: 1 << 10, MaxBodyBytes: 1 << 10,
}

// scriptedUpstream starts an upstream that reads one request per connection, sends the bytes of
// response, calls end and closes the connection.
func scriptedUpstream(response string, end func(*net.TCPConn)) Target {
	return startUpstream(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response)
		end(conn.(*net.TCPConn))
	})
}

// startUpstream starts an upstream for the duration of the test.
func startUpstream(handle http.HandlerFunc) Target {
	server := httptest.NewServer(handle)
	DeferCleanup(server.Close)
	return Target{Name: "e1", Address: server.Listener.Addr().String()}
}

// closeConn and resetConn make scriptedUpstream close a connection normally or by a TCP reset.
func closeConn(*net.TCPConn)      {}
func resetConn(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// event returns an event with one chunk, of one token, of request r1.
func event(text string, version int) string {
	return fmt.Sprintf(`data: {"id":"r1","choices":[{"text":%q}],"tokens":1,"weight_version":%d}`+"\n\n", text, version)
}

// unframedHeader is the header of an event stream of request r1 that ends when the connection
// closes.
const unframedHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r1\r\n\r\n"

// streamResponse returns an event stream with chunked encoding, including the last chunk.
func streamResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
}

// sizedResponse returns a response with a Content-Length. headerLines are additional lines of
// the header.
func sizedResponse(status int, headerLines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headerLines, len(body), body)
}

// failWith matches an Error of the upstream e1.
func failWith(f Fault, o outcome.Outcome) types.GomegaMatcher {
	return SatisfyAll(HaveField("Fault", f), HaveField("Outcome", o), HaveField("Upstream", BeEquivalentTo("e1")))
}

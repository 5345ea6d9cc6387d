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

// patient never times out within a test.
var patient = Options{
	DialTimeout: time.Minute, FirstByteTimeout: time.Minute, ProgressTimeout: time.Minute,
	MaxEventBytes: 1 << 10, MaxBodyBytes: 1 << 10,
}

// scripted reads one request a connection, sends the answer's bytes and then ends.
func scripted(answer string, end func(*net.TCPConn)) Target {
	return serve(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	})
}

func serve(handle http.HandlerFunc) Target {
	server := httptest.NewServer(handle)
	DeferCleanup(server.Close)
	return Target{Name: "e1", Address: server.Listener.Addr().String()}
}

func closed(*net.TCPConn)     {}
func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// event is one chunk of request r1.
func event(text string, version int) string {
	return fmt.Sprintf(`data: {"id":"r1","choices":[{"text":%q}],"tokens":1,"weight_version":%d}`+"\n\n", text, version)
}

// unframed begins an event stream of request r1 that lasts as long as its connection.
const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r1\r\n\r\n"

// streamed is an event stream in chunks, the last of which says its end.
func streamed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
}

// sized is an answer with a Content-Length; more are header lines.
func sized(status int, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}

func failAs(f Fault, o outcome.Outcome) types.GomegaMatcher {
	return SatisfyAll(HaveField("Fault", f), HaveField("Outcome", o), HaveField("Upstream", BeEquivalentTo("e1")))
}

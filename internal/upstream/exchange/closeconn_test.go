package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// lateConn is a connection whose reads don't notice its Close.
type lateConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *lateConn) Close() error {
	c.closed.Store(true)
	return nil
}

func (c *lateConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, errors.New("use of closed connection")
	}
	return c.Conn.Write(p)
}

// Guards against a request that fails as one that may have been sent because it was given an idle
// connection that was just closed here.
func TestNoRequestIsSentOnAClosedIdleConnection(t *testing.T) {
	g := NewWithT(t)
	server := newTruncatingServer(t)
	server.set("HTTP/1.1 204 No Content\r\n\r\n", false, true)
	var dialled []*lateConn
	s := NewSender(Options{DialTimeout: time.Minute, IdleTimeout: time.Minute, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		dialled = append(dialled, &lateConn{Conn: conn})
		return dialled[len(dialled)-1], err
	}})
	send := func() (*Response, error) {
		return s.Send(context.Background(), Request{Method: http.MethodPost, URL: "http://" + server.Addr().String(), Body: []byte("x")}, SendOptions{})
	}
	defer func() {
		for _, c := range dialled {
			_ = c.Conn.Close()
		}
	}()
	resp, err := send()
	g.Expect(err).NotTo(HaveOccurred())
	resp.CloseConn()
	resp, err = send()
	g.Expect(err).NotTo(HaveOccurred())
	resp.Close()
	g.Expect(dialled).To(HaveLen(2))
}

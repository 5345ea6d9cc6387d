package exchange

import (
	"net"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that fails because its connection is closed as idle: net/http reports that
// a connection is idle only after the next request may have got it.
func TestConnectionInUseIsNotClosedAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := NewSender(Options{DialTimeout: time.Second, IdleTimeout: time.Second})
		near, far := net.Pipe()
		defer far.Close()
		conn := &trackedConn{Conn: near}
		first, second := &attempt{sender: sender, watchdog: newWatchdog(nil)}, &attempt{sender: sender, watchdog: newWatchdog(nil)}
		first.onGotConn(httptrace.GotConnInfo{Conn: conn})
		second.onGotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
		first.onPutIdleConn(nil)
		time.Sleep(time.Minute)
		g.Expect(conn.hasClosedItself()).To(BeFalse(), "in use by the second request")
		second.onPutIdleConn(nil)
		time.Sleep(time.Minute)
		g.Expect(conn.hasClosedItself()).To(BeTrue(), "idle")
	})
}

func (c *trackedConn) hasClosedItself() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesDisabled
}

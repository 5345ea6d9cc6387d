package exchange

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the idle time of connections", func() {
	const address = "10.0.0.1:80"
	keepAlive := func(value string) http.Header { return http.Header{"Keep-Alive": {value}} }

	DescribeTable("follows what the server advertises",
		func(header http.Header, want time.Duration) {
			l := newIdleLimits(Options{IdleTimeout: 800 * time.Millisecond, MaxIdleTimeout: 20 * time.Second})
			l.recordResponse(address, header)
			Expect(l.limit(address, 0)).To(Equal(want))
			Expect(l.limit("another", 0)).To(Equal(800 * time.Millisecond))
		},
		Entry("nothing", http.Header{}, 800*time.Millisecond),
		Entry("ten seconds", keepAlive("timeout=10"), 8*time.Second),
		Entry("with a maximum number of requests", keepAlive("max=5, Timeout=5"), 4*time.Second),
		Entry("longer than the maximum", keepAlive("timeout=60"), 20*time.Second),
		Entry("longer than a duration", keepAlive("timeout=9300000000"), 20*time.Second),
		Entry("the longest", keepAlive("timeout=9223372036854775807"), 20*time.Second),
		Entry("above all", keepAlive("timeout=1e400"), 800*time.Millisecond),
		Entry("not a number", keepAlive("timeout=soon"), 800*time.Millisecond),
		Entry("zero", keepAlive("timeout=0"), 800*time.Millisecond),
	)

	// A server accepts a limited number of connections from all VMs together and resets
	// further ones. If each VM kept idle connections for as long as the server allows, new
	// ones would be reset repeatedly.
	It("is short for a while after a server reset a new connection", func() {
		l := newIdleLimits(Options{IdleTimeout: time.Second, MaxIdleTimeout: time.Minute})
		l.recordResponse(address, keepAlive("timeout=10"))
		l.recordReset(address, 5*time.Second)
		Expect(l.limit(address, 6*time.Second)).To(Equal(time.Second))
		Expect(l.limit(address, 5*time.Second+overloadDuration)).To(Equal(8 * time.Second))
	})

	It("is the default again after a response without the header", func() {
		l := newIdleLimits(Options{IdleTimeout: time.Second, MaxIdleTimeout: time.Minute})
		l.recordResponse(address, keepAlive("timeout=10"))
		l.recordResponse(address, http.Header{})
		Expect(l.limit(address, 0)).To(Equal(time.Second))
	})

	// Each new connection takes up one of the server's slots for a moment. If a connection is
	// kept for as long as the server advertises, it serves calls that are seconds apart; if it
	// is kept longer, a call may get a connection that the server has closed.
	It("is the advertised time, after which the connection is closed", func(ctx SpecContext) {
		var dials, advertise atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if advertise.Load() > 0 {
				w.Header().Set("Keep-Alive", "timeout=1")
			}
			_, _ = w.Write([]byte("x"))
		}))
		defer server.Close()
		s := NewSender(Options{DialTimeout: time.Second, IdleTimeout: 100 * time.Millisecond, MaxIdleTimeout: time.Minute,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}})
		call := func() {
			resp, err := s.Send(ctx, Request{Method: http.MethodPost, URL: server.URL, Body: []byte("q")}, SendOptions{})
			Expect(err).NotTo(HaveOccurred())
			_, err = resp.ReadAll(10)
			Expect(err).NotTo(HaveOccurred())
			resp.Close()
		}
		pause := func(d time.Duration) { <-time.After(d) }
		call()
		pause(300 * time.Millisecond)
		call()
		Expect(dials.Load()).To(Equal(int64(2)), "without the header, the connection must be closed after IdleTimeout")
		advertise.Store(1)
		call()
		pause(300 * time.Millisecond)
		call()
		Expect(dials.Load()).To(Equal(int64(2)))
		pause(1200 * time.Millisecond)
		call()
		Expect(dials.Load()).To(Equal(int64(3)), "must be closed before the server closes it")
	})
})

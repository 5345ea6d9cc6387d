package batchpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
)

// truncatingProxy forwards calls to a server and closes a connection after a number of bytes of
// the server.
type truncatingProxy struct {
	net.Listener
	server string

	mu    sync.Mutex
	left  int  // bytes of the server still to be passed on, -1: all
	reset bool // close by a TCP reset
}

func newTruncatingProxy(t *testing.T, server string) *truncatingProxy {
	p := &truncatingProxy{Listener: listen(t), server: server}
	go func() {
		for {
			conn, err := p.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p
}

func (p *truncatingProxy) set(left int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left, p.reset = left, reset
}

// take returns how many of n bytes to pass on, and whether the connection ends behind them.
func (p *truncatingProxy) take(n int) (pass int, end, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left < 0 {
		return n, false, false
	}
	pass = min(n, p.left)
	p.left -= pass
	return pass, p.left == 0, p.reset
}

func (p *truncatingProxy) forward(client *net.TCPConn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	defer server.Close()
	received := make(chan struct{})
	go func() {
		defer close(received)
		_, _ = io.Copy(server, client)
	}()
	for buf := make([]byte, 4<<10); ; {
		n, err := server.Read(buf)
		if err != nil {
			return
		}
		pass, end, reset := p.take(n)
		_, _ = client.Write(buf[:pass])
		switch {
		case end && reset:
			_ = client.SetLinger(0)
			return
		case end:
			_ = client.CloseWrite()
			<-received // unread data would make the close a reset
			return
		}
	}
}

// Guards against a reply that breaks off at any byte and is taken for a complete one, or for one of
// the guarantees to trainers.
func TestTruncatedReplies(t *testing.T) {
	type call = func(ctx context.Context, c *Client, address string) (any, error)
	list := call(func(ctx context.Context, c *Client, address string) (any, error) {
		return c.List(ctx, address, "b", 0, 0)
	})
	end := call(func(ctx context.Context, c *Client, address string) (any, error) {
		return nil, c.End(ctx, address, "b")
	})
	listing := batchrun.Listing{Partition: 23, Total: 2, Blobs: map[int64][]byte{4: []byte("text")}, Samples: []batch.Sample{
		{Item: batch.Item{ID: "s1"}, State: batch.Completed, Score: "sig", Text: batch.Text{Segments: []batch.Segment{{Offset: 4, Events: 1, Versions: []batch.VersionRun{{Version: 1, Events: 1}}}}}},
		{Item: batch.Item{ID: "s2"}, State: batch.GivenUp},
	}}
	for _, c := range []struct {
		name    string
		handler *fakeHandler
		call    call
	}{
		{"locate", &fakeHandler{}, func(ctx context.Context, c *Client, address string) (any, error) {
			return c.Locate(ctx, address, "b", true)
		}},
		{"list", &fakeHandler{listing: listing}, list},
		{"list of a batch that isn't found", &fakeHandler{err: batchrun.ErrNotFound}, list},
		{"end", &fakeHandler{}, end},
		{"end that isn't run", &fakeHandler{err: batchrun.ErrNotRun}, end},
		{"body", &fakeHandler{}, func(ctx context.Context, c *Client, address string) (any, error) {
			return c.Body(ctx, address, "b", "s1")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			address, direct := serve(t, c.handler)
			complete, _ := c.call(ctx, direct, address)
			proxy := newTruncatingProxy(t, address)
			// ask reports whether a call got the complete reply of which cut bytes were passed on.
			ask := func(cut int, reset, reused bool) bool {
				client := NewClient()
				defer client.Close()
				if reused {
					proxy.set(-1, false)
					_, err := c.call(ctx, client, proxy.Addr().String())
					g.Expect(errors.Is(err, c.handler.err)).To(BeTrue(), "first call: %v", err)
				}
				proxy.set(cut, reset)
				got, err := c.call(ctx, client, proxy.Addr().String())
				if errors.Is(err, c.handler.err) && reflect.DeepEqual(got, complete) {
					return true
				}
				g.Expect(err).To(MatchError(batchrun.ErrUnreachable), "reset %v, after %d bytes: %v", reset, cut, got)
				g.Expect(err).NotTo(Or(MatchError(batchrun.ErrNotFound), MatchError(batchrun.ErrNotRun)))
				return false
			}
			for _, reset := range []bool{false, true} {
				for _, reused := range []bool{false, true} {
					cut := 0
					for !ask(cut, reset, reused) {
						cut++
					}
					g.Expect(cut).To(BeNumerically(">=", frameBytes))
				}
			}
		})
	}
}

// frameBytes is the least size of a drpc frame; a reply without data has just one.
const frameBytes = 4

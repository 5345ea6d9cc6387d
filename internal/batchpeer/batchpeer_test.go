package batchpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
)

// fakeHandler returns preset results and records the calls.
type fakeHandler struct {
	err     error
	listing batchrun.Listing

	mu    sync.Mutex
	calls []string
}

func (h *fakeHandler) record(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *fakeHandler) Locate(_ context.Context, id string, confirm bool) locate.Answer {
	h.record("locate %s %v", id, confirm)
	return locate.Answer{Found: id == "b", Confirmed: []int{0, 23}}
}

func (h *fakeHandler) List(_ context.Context, id string, after int, wait time.Duration) (batchrun.Listing, error) {
	h.record("list %s %d %v", id, after, wait)
	return h.listing, h.err
}

func (h *fakeHandler) End(_ context.Context, id string) error {
	h.record("end %s", id)
	return h.err
}

func (h *fakeHandler) Body(_ context.Context, id, item string) (batchrun.BodyLocation, error) {
	h.record("body %s %s", id, item)
	return bodyAt, h.err
}

var bodyAt = batchrun.BodyLocation{Partition: 5, Offset: 77, Index: 3, Blob: []byte{0, 1, 2}}

// listen returns a listener on loopback.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve starts a server and returns its address and a client.
func serve(t *testing.T, h *fakeHandler) (string, *Client) {
	l := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, h, zerolog.Nop()) }()
	c := NewClient()
	t.Cleanup(func() {
		_ = c.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), c
}

func TestCallsAndResultsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	listing := batchrun.Listing{Partition: 23, Total: 9, Blobs: map[int64][]byte{4: []byte(strings.Repeat("text", 200_000))}, Samples: []batch.Sample{
		{Item: batch.Item{ID: "s1"}, State: batch.Completed, Score: "sig", Text: batch.Text{Segments: []batch.Segment{
			{Offset: 4, Events: 3, Versions: []batch.VersionRun{{Version: 1, Events: 2}, {Version: 2, Events: 1}}},
			{Offset: 9, Events: 1, Versions: []batch.VersionRun{{Version: 2, Events: 1}}},
		}}},
		{Item: batch.Item{ID: "s2"}, State: batch.GivenUp},
	}}
	h := &fakeHandler{listing: listing}
	address, c := serve(t, h)
	ctx := context.Background()
	answer, err := c.Locate(ctx, address, "b", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal(locate.Answer{Found: true, Confirmed: []int{0, 23}}))
	got, err := c.List(ctx, address, "b", 1, 500*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(listing))
	at, err := c.Body(ctx, address, "b", "s1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(at).To(Equal(bodyAt))
	g.Expect(c.End(ctx, address, "b")).To(Succeed())
	g.Expect(h.calls).To(Equal([]string{"locate b true", "list b 1 500ms", "body b s1", "end b"}))
}

// ErrNotFound and ErrNotRun are guarantees to trainers. They must arrive unchanged, and no
// other failure may arrive as one of them.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	known := []error{batchrun.ErrNotFound, batchrun.ErrUnsure, batchrun.ErrNotRun, batchrun.ErrUnknown}
	for _, c := range []struct{ returned, want error }{
		{batchrun.ErrNotFound, batchrun.ErrNotFound},
		{batchrun.ErrUnsure, batchrun.ErrUnsure},
		{batchrun.ErrNotRun, batchrun.ErrNotRun},
		{batchrun.ErrUnknown, batchrun.ErrUnknown},
		{io.ErrUnexpectedEOF, batchrun.ErrUnknown},
	} {
		g := NewWithT(t)
		address, client := serve(t, &fakeHandler{err: c.returned})
		for _, err := range callErrors(client, address) {
			for _, k := range known {
				if k == c.want {
					g.Expect(err).To(MatchError(k))
				} else {
					g.Expect(err).NotTo(MatchError(k))
				}
			}
			g.Expect(err).NotTo(MatchError(batchrun.ErrUnreachable))
		}
	}
}

// callErrors makes each call that returns an outcome, and returns their errors.
func callErrors(c *Client, address string) []error {
	ctx := context.Background()
	_, listErr := c.List(ctx, address, "b", 0, 0)
	_, bodyErr := c.Body(ctx, address, "b", "s")
	return []error{listErr, bodyErr, c.End(ctx, address, "b")}
}

// Guards against calls that hang on the connections to a VM that lost power: these accept
// data but never return any, nor a reset. Each call must end at its own deadline. The idle
// connections must not be used again, or each of them would cost a call its timeout.
func TestUnresponsiveDaemonIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	l := listen(t)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	c := NewClient()
	defer func() { _ = c.Close() }()
	for n := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := c.Locate(ctx, l.Addr().String(), "b", false)
		cancel()
		g.Expect(err).To(MatchError(batchrun.ErrUnreachable))
		g.Eventually(accepted).Should(Receive(), "call %d made a new connection", n)
	}
}

// A call to the closed port of a process that was killed must fail at once. Data that is not
// drpc, from a client that is not a daemon, must end that connection only.
func TestRefusedAndForeignConnections(t *testing.T) {
	g := NewWithT(t)
	h := &fakeHandler{}
	address, c := serve(t, h)
	foreign, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = foreign.Close() }()
	_, err = foreign.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Locate(context.Background(), address, "b", false)
	g.Expect(err).NotTo(HaveOccurred())
	closed := listen(t)
	_ = closed.Close()
	_, err = c.Locate(context.Background(), closed.Addr().String(), "b", false)
	g.Expect(err).To(MatchError(batchrun.ErrUnreachable))
}

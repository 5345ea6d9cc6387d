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

// holder answers with what it was given, and notes what it was asked.
type holder struct {
	err     error
	listing batchrun.Listing

	mu    sync.Mutex
	asked []string
}

func (h *holder) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked = append(h.asked, fmt.Sprintf(format, args...))
}

func (h *holder) Locate(_ context.Context, id string, confirm bool) locate.Answer {
	h.note("locate %s %v", id, confirm)
	return locate.Answer{Found: id == "b", Confirmed: []int{0, 23}}
}

func (h *holder) List(_ context.Context, id string, after int, wait time.Duration) (batchrun.Listing, error) {
	h.note("list %s %d %v", id, after, wait)
	return h.listing, h.err
}

func (h *holder) End(_ context.Context, id string) error {
	h.note("end %s", id)
	return h.err
}

func (h *holder) Body(_ context.Context, id, item string) (batchrun.BodyAt, error) {
	h.note("body %s %s", id, item)
	return bodyAt, h.err
}

var bodyAt = batchrun.BodyAt{Part: 5, At: 77, Index: 3, Blob: []byte{0, 1, 2}}

// listen returns a listener on loopback.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve starts a daemon's end and returns its address and a client.
func serve(t *testing.T, h *holder) (string, *Client) {
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

func TestCallsArriveAsTheyWereMade(t *testing.T) {
	g := NewWithT(t)
	listing := batchrun.Listing{Part: 23, Total: 9, Blobs: map[int64][]byte{4: []byte(strings.Repeat("text", 200_000))}, Listed: []batch.Sample{
		{Item: batch.Item{ID: "s1"}, State: batch.Completed, Score: "sig", Text: batch.Text{Segments: []batch.Segment{
			{At: 4, Events: 3, Versions: []batch.VersionRun{{Version: 1, Events: 2}, {Version: 2, Events: 1}}},
			{At: 9, Events: 1, Versions: []batch.VersionRun{{Version: 2, Events: 1}}},
		}}},
		{Item: batch.Item{ID: "s2"}, State: batch.Dead},
	}}
	h := &holder{listing: listing}
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
	g.Expect(h.asked).To(Equal([]string{"locate b true", "list b 1 500ms", "body b s1", "end b"}))
}

// "No such batch" and "not run" are promises to trainers. They must arrive as they were
// given, and no other failure may be told as one of them.
func TestFailuresKeepTheirMeaning(t *testing.T) {
	known := []error{batchrun.ErrNotFound, batchrun.ErrUnsure, batchrun.ErrNotRun, batchrun.ErrUnknown}
	for _, c := range []struct{ given, want error }{
		{batchrun.ErrNotFound, batchrun.ErrNotFound},
		{batchrun.ErrUnsure, batchrun.ErrUnsure},
		{batchrun.ErrNotRun, batchrun.ErrNotRun},
		{batchrun.ErrUnknown, batchrun.ErrUnknown},
		{io.ErrUnexpectedEOF, batchrun.ErrUnknown},
	} {
		g := NewWithT(t)
		address, client := serve(t, &holder{err: c.given})
		for _, err := range failures(client, address) {
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

func failures(c *Client, address string) []error {
	ctx := context.Background()
	_, list := c.List(ctx, address, "b", 0, 0)
	_, body := c.Body(ctx, address, "b", "s")
	return []error{list, body, c.End(ctx, address, "b")}
}

// A VM loses power: connections to it take bytes and answer nothing, and no reset comes.
// Each call must end by its own time, and a connection that was idle then isn't used
// again, or every one that is kept would cost a caller its timeout.
func TestSilentDaemonIsUnreachable(t *testing.T) {
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
		g.Eventually(accepted).Should(Receive(), "call %d made a connection of its own", n)
	}
}

// A process was killed and its port is closed, or somebody who isn't a daemon connects to
// ours. The first is told at once; the second ends that connection only.
func TestRefusedAndForeignConnections(t *testing.T) {
	g := NewWithT(t)
	h := &holder{}
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

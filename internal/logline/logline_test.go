package logline

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// blockingBuffer is an output whose writes can block.
type blockingBuffer struct {
	unblock chan struct{} // if not nil, writes block until it is closed
	data    bytes.Buffer
}

func (b *blockingBuffer) Write(p []byte) (int, error) {
	if b.unblock != nil {
		<-b.unblock
	}
	return b.data.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingBuffer{}
		w := New(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		NewWithT(t).Expect(out.data.String()).To(Equal("a\nb\nc\n"))
		_, err := w.Write([]byte("late\n"))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	})
}

// The log collector stops reading. A daemon that waited for it would stop answering its
// callers.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &blockingBuffer{unblock: make(chan struct{})}
		w := New(out)
		before := dropped.Value()
		for range burstLines + 500 {
			_, err := w.Write([]byte("x\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(dropped.Value() - before).To(BeNumerically(">=", 500))
		w.Close() // times out
		close(out.unblock)
	})
}

func TestRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &blockingBuffer{}
		w := New(out)
		before := dropped.Value()
		for range 10 {
			for range 1000 {
				_, _ = w.Write([]byte("x\n")) // never fails
			}
			time.Sleep(time.Second)
		}
		w.Close()
		lines := bytes.Count(out.data.Bytes(), []byte("\n"))
		g.Expect(lines).To(BeNumerically("<=", burstLines+10*linesPerSecond))
		g.Expect(lines+int(dropped.Value()-before)).To(Equal(10_000), "dropped lines are counted")
	})
}

// Guards against a queue of lines that quote what upstreams send, up to 64 KB each: 2,048 of them are
// more than a small VM has.
func TestLongLinesAreShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &blockingBuffer{}
		w := New(out)
		for _, line := range []string{strings.Repeat("x", maxLineBytes), strings.Repeat("\xff", 256<<10), strings.Repeat("\"", 64<<10)} {
			_, err := w.Write([]byte(line))
			g.Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		whole, rest := out.data.String()[:maxLineBytes], out.data.Bytes()[maxLineBytes:]
		g.Expect(whole).To(Equal(strings.Repeat("x", maxLineBytes)))
		for _, size := range []int{256 << 10, 64 << 10} {
			line, after, found := bytes.Cut(rest, []byte("\n"))
			g.Expect(found).To(BeTrue())
			g.Expect(len(line)).To(BeNumerically("<=", 2*maxLineBytes))
			var doc struct{ Bytes int }
			g.Expect(json.Unmarshal(line, &doc)).To(Succeed())
			g.Expect(doc.Bytes).To(Equal(size))
			rest = after
		}
	})
}

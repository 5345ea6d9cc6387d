package logline

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// buffer is an output that may be stuck.
type buffer struct {
	stuck chan struct{} // writes wait until it is closed; nil: they don't
	data  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.stuck != nil {
		<-b.stuck
	}
	return b.data.Write(p)
}

func TestLinesComeInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
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

// Whoever collects the logs stops reading. A daemon that waited for it would stop
// answering its callers.
func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &buffer{stuck: make(chan struct{})}
		w := New(out)
		before := dropped.Value()
		for range burstLines + 500 {
			_, err := w.Write([]byte("x\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(dropped.Value() - before).To(BeNumerically(">=", 500))
		w.Close() // gives up waiting
		close(out.stuck)
	})
}

func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &buffer{}
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
		g.Expect(lines+int(dropped.Value()-before)).To(Equal(10_000), "what is dropped is counted")
	})
}

package membudget

import (
	"bytes"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// Guards against bytes that stay held after their call, among others those that a send adds when
// its call has ended already, and against a budget that concurrent calls exceed together.
func TestLeasesAreReturned(t *testing.T) {
	g := NewWithT(t)
	b := New(1000)
	var calls sync.WaitGroup
	for i := range 16 {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		calls.Go(func() {
			for range 300 {
				lease, ok := b.Acquire(random.Int64N(400))
				if !ok {
					continue
				}
				var sends sync.WaitGroup
				for _, n := range []int64{random.Int64N(300), random.Int64N(300)} {
					sends.Go(func() {
						if lease.Grow(n) {
							lease.Shrink(n / 2)
						}
					})
				}
				if held := b.Held(); held > 1000 {
					t.Errorf("%d bytes held", held)
				}
				lease.Release()
				sends.Wait()
				lease.Release()
			}
		})
	}
	calls.Wait()
	g.Expect(b.Held()).To(BeZero())
	lease, _ := b.Acquire(10)
	g.Expect(lease.Grow(math.MaxInt64)).To(BeFalse(), "the sum overflows")
}

// Guards against bytes that are counted twice, or stay, when a part of a lease changes hands.
func TestSplit(t *testing.T) {
	g := NewWithT(t)
	b := New(100)
	lease, _ := b.Acquire(80)
	part := lease.Split(30)
	g.Expect(b.Held()).To(BeEquivalentTo(80))
	g.Expect(lease.Split(51)).To(BeNil())
	lease.Release()
	g.Expect(b.Held()).To(BeEquivalentTo(30))
	g.Expect(lease.Split(1)).To(BeNil())
	part.Release()
	g.Expect(b.Held()).To(BeZero())
}

// Guards against a body whose buffer is larger than what the lease holds, against bytes that
// stay in the lease after an error, and against bodies that are cut off or not cut off.
func TestReadAll(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 300_000)
	size := int64(len(body))
	broken := errors.New("connection broken")
	for _, c := range []struct {
		name   string
		body   Body
		budget int64
		reader io.Reader
		err    error
	}{
		{"known length", Body{Length: size, Limit: size, Prepaid: size}, size, bytes.NewReader(body), nil},
		{"known length, not prepaid", Body{Length: size, Limit: size}, size, bytes.NewReader(body), nil},
		{"known length, no room", Body{Length: size, Limit: size}, size - 1, bytes.NewReader(body), ErrNoRoom},
		{"chunked", Body{Length: -1, Limit: size}, 2 * size, iotest.OneByteReader(bytes.NewReader(body)), nil},
		{"chunked, no room", Body{Length: -1, Limit: size}, size / 2, bytes.NewReader(body), ErrNoRoom},
		{"chunked, too long", Body{Length: -1, Limit: size - 1}, 2 * size, bytes.NewReader(body), ErrTooLong},
		{"announced too long", Body{Length: size, Limit: size - 1}, 2 * size, bytes.NewReader(body), ErrTooLong},
		{"broken off", Body{Length: size, Limit: size}, size, io.MultiReader(bytes.NewReader(body[:9]), iotest.ErrReader(broken)), broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(c.budget)
			lease, _ := b.Acquire(c.body.Prepaid)
			data, err := ReadAll(c.reader, c.body, lease)
			if c.err != nil {
				g.Expect(err).To(MatchError(c.err))
				g.Expect(b.Held()).To(Equal(c.body.Prepaid))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(data, body)).To(BeTrue())
			g.Expect(b.Held()).To(BeNumerically(">=", cap(data)-1))
		})
	}
}

// Guards against a body above the limit that could never be sent, and against keys that stay.
func TestByKey(t *testing.T) {
	g := NewWithT(t)
	k := NewByKey(100)
	acquire := func(key string, n int64) bool { _, ok := k.Acquire(key, n); return ok }
	g.Expect(acquire("a", 150)).To(BeTrue())
	g.Expect(acquire("a", 1)).To(BeFalse())
	g.Expect(acquire("b", 60)).To(BeTrue())
	g.Expect(acquire("b", 41)).To(BeFalse())
	g.Expect(acquire("b", 40)).To(BeTrue())
	k.Release("a", 150)
	k.Release("b", 60)
	k.Release("b", 40)
	g.Expect(k.held).To(BeEmpty())
}

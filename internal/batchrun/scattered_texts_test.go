package batchrun

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

const (
	smallLinkBytes = 7_500_000 // per second, 60 Mbit/s
	blobEvents     = 8
	eventDataBytes = 360
)

// slowLink is a log behind the link of a small VM, which all reads share.
type slowLink struct {
	store.Log
	mu   sync.Mutex
	free time.Time // when the link has sent what was read
}

func (l *slowLink) Read(ctx context.Context, topic string, part int, from store.ReadOptions) (store.Page, error) {
	page, err := l.Log.Read(ctx, topic, part, from)
	if err != nil {
		return page, err
	}
	l.mu.Lock()
	l.free = later(l.free, time.Now()).Add(time.Duration(page.Bytes()) * time.Second / smallLinkBytes)
	sent := time.NewTimer(time.Until(l.free))
	l.mu.Unlock()
	defer sent.Stop()
	select {
	case <-sent.C:
		return page, nil
	case <-ctx.Done():
		return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// textLog is a partition of texts: blob i of text t holds its next blobEvents events.
type textLog struct {
	g      *WithT
	store  *metastore.Store
	client *metastore.Client
	texts  map[string]*batch.Text
}

func newTextLog(g *WithT) *textLog {
	l := &textLog{g: g, store: metastore.New(2), texts: map[string]*batch.Text{}}
	l.client = l.newClient()
	return l
}

func (l *textLog) newClient() *metastore.Client {
	client := metastore.NewClient(l.store, callTimeout)
	client.SetFaults(metastore.Faults{Latency: storeLatency})
	return client
}

// write appends the next segment of each text, in this order.
func (l *textLog) write(ids ...string) {
	var blobs [][]byte
	for _, id := range ids {
		events := make([]batch.Event, blobEvents)
		for i := range events {
			events[i] = batch.Event{Data: id + strings.Repeat("x", eventDataBytes), Version: 1}
		}
		blob, err := batch.PackText(events)
		l.g.Expect(err).NotTo(HaveOccurred())
		blobs = append(blobs, blob)
	}
	offset, err := l.client.Append(context.Background(), textTopic, 0, blobs)
	l.g.Expect(err).NotTo(HaveOccurred())
	for i, id := range ids {
		if l.texts[id] == nil {
			l.texts[id] = &batch.Text{}
		}
		text := l.texts[id]
		text.Segments = append(text.Segments, batch.Segment{Offset: offset + int64(i), Events: blobEvents})
		text.Events += blobEvents
	}
}

// names returns the names of the samples of a batch.
func names(of string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint(of, "-", i))
	}
	return out
}

// listing lists completed samples from a position on, as the owner of their partition does.
func (l *textLog) listing(ids []string, after int) Listing {
	out := Listing{Total: len(ids)}
	for _, id := range ids[after:min(len(ids), after+maxPageResults)] {
		out.Samples = append(out.Samples, batch.Sample{Item: batch.Item{ID: id}, State: batch.Completed, Text: *l.texts[id]})
	}
	return out
}

// writeScattered writes a batch of 160 samples, 64 of which have the first half of their text between
// those of the batch before. Each step of the day writes the segments of all samples of two batches.
func (l *textLog) writeScattered() (ids []string) {
	carried, fresh, others := names("carried", 64), names("fresh", 96), names("other", 160)
	for range 6 {
		l.write(others...)
		l.write(carried...)
		l.write(others...)
	}
	for range 3 {
		l.write(others...)
		l.write(fresh...)
		l.write(carried...)
	}
	return append(fresh, carried...)
}

func newReader(l *textLog) *Service {
	return &Service{options: Options{Logger: zerolog.Nop()}, blobs: newBlobCache(&slowLink{Log: l.client}, 2)}
}

// readAll reads all results from the start, each page within readerPatience.
func (l *textLog) readAll(s *Service, ids []string) error {
	const maxCalls = 20
	after := 0
	for range maxCalls {
		if err := l.readNext(s, ids, &after); err != nil {
			return err
		}
		if after == len(ids) {
			return nil
		}
	}
	return fmt.Errorf("position %d of %d after %d calls", after, len(ids), maxCalls)
}

// readNext reads the results from position after on, within readerPatience, and moves after behind them.
func (l *textLog) readNext(s *Service, ids []string, after *int) error {
	began := time.Now()
	page, err := s.readPage(context.Background(), l.listing(ids, *after), *after, &ReadStats{})
	if took := time.Since(began); err != nil || took > readerPatience || len(page.Results) == 0 {
		return fmt.Errorf("position %d of %d: %d results in %s: %w", *after, len(ids), len(page.Results), took, err)
	}
	for _, r := range page.Results {
		if want := l.texts[r.ID].Events*(len(r.ID)+eventDataBytes+1) - 1; len(r.Text) != want {
			return fmt.Errorf("%s has a text of %d bytes, %d expected", r.ID, len(r.Text), want)
		}
	}
	*after = page.Next
	return nil
}

// Guards against results that no small VM can read in time, because the segments of their texts lie
// far apart in the log.
func TestScatteredTextsAreReadInTime(t *testing.T) {
	for _, readers := range []int{1, 4} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			l := newTextLog(g)
			ids := l.writeScattered()
			s := newReader(l)
			var group errgroup.Group
			for range readers {
				group.Go(func() error { return l.readAll(s, ids) })
			}
			g.Expect(group.Wait()).To(Succeed(), "%d readers", readers)
		})
	}
}

// Guards against a fleet that asks for more than the store sends before its reads are given up, when
// many batches are read at once: what is given up is sent all the same, and no reader gets anything.
func TestTextsAreReadInTimeByManyReaders(t *testing.T) {
	for _, c := range []struct{ vms, readers int }{{61, 80}, {122, 160}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			l := newTextLog(g)
			ids := l.writeScattered()
			l.store.SetRateLimits(metastore.RateLimits{ReadBytesPerSecond: 80e6, ReadsPerSecond: 6000})
			var fleet []*Service
			for range c.vms {
				fleet = append(fleet, newReader(&textLog{client: l.newClient()}))
			}
			var calls atomic.Int64
			var group errgroup.Group
			for range c.readers {
				group.Go(func() error {
					for after := 0; after < len(ids); {
						s := fleet[int(calls.Add(1))%len(fleet)]
						if err := l.readNext(s, ids, &after); err != nil {
							return err
						}
					}
					return nil
				})
			}
			g.Expect(group.Wait()).To(Succeed(), "%d readers of %d VMs", c.readers, c.vms)
		})
	}
}

// refusingLog refuses each read but every allowed-th one.
type refusingLog struct {
	store.Log
	allowed int
	reads   atomic.Int64
}

func (l *refusingLog) Read(ctx context.Context, topic string, part int, from store.ReadOptions) (store.Page, error) {
	if l.reads.Add(1)%int64(l.allowed) != 0 {
		return store.Page{}, fmt.Errorf("%w: injected refusal", store.ErrNotDone)
	}
	return l.Log.Read(ctx, topic, part, from)
}

// Guards against a page that fails because the store refused one of its many reads, as it does when
// the fleet exceeds its rate of reads.
func TestRefusedReadsOfTextsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTextLog(g)
		ids := l.writeScattered()
		s := newReader(l)
		s.blobs.log = &refusingLog{Log: s.blobs.log, allowed: 3}
		g.Expect(l.readAll(s, ids)).To(Succeed())
	})
}

// Guards against a reader that is kept waiting by a store that refuses all reads of this VM: another
// one may read the page.
func TestReadsOfTextsThatAreAllRefusedFailSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTextLog(g)
		ids := l.writeScattered()
		l.client.SetFaults(metastore.Faults{Refuse: true})
		began := time.Now()
		_, err := newReader(l).readPage(context.Background(), l.listing(ids, 0), 0, &ReadStats{})
		g.Expect(err).To(MatchError(ErrUnsure))
		g.Expect(time.Since(began)).To(BeNumerically("<=", readerPatience/3))
	})
}

// Guards against one partition whose reads the store doesn't answer that keeps the texts of all others
// from being read.
func TestUnansweredReadsOfAPartitionDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTextLog(g)
		ids := l.writeScattered()
		const silent = 1
		l.client.SetFaults(metastore.Faults{Latency: storeLatency, ReadDelay: func(_ string, part int) time.Duration {
			if part == silent {
				return time.Hour
			}
			return 0
		}})
		s := newReader(l)
		ctx, cancel := context.WithCancel(context.Background())
		var readers sync.WaitGroup
		for range maxReads {
			readers.Go(func() {
				for ctx.Err() == nil {
					_, _ = s.blobs.get(ctx, silent, []int64{0, 1 << 20}, nil) // never answered
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		err := l.readAll(s, ids)
		cancel()
		readers.Wait()
		g.Expect(err).NotTo(HaveOccurred())
	})
}

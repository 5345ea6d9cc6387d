package batchrun

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	recoveryReads      = 6000             // calls per second that the store allows
	recoveryWrites     = 1200             // calls per second that the store allows
	recoveryBound      = 10 * time.Second // after the last disruption, within which all batches must be read
	recoveryModels     = 4
	recoveryBatches    = 5 // of each model
	recoverySamples    = 160
	recoveryEvents     = 20  // mean number of events of a sample
	recoveryEventBytes = 360 // of an event
	recoveryStep       = 4 * time.Second
	recoveryRun        = 7 * time.Second // in which the texts of a batch are written
	smallLinkRate      = 7_500_000       // bytes per second of a small VM's link
	largeLinkRate      = 10 * smallLinkRate
	smallVMMemory      = 184 << 20
	readerPatience     = 1500 * time.Millisecond // that a reader waits beyond the wait that it requests
	readerPause        = 100 * time.Millisecond  // between two attempts of a reader
)

// link is a VM's network link, on which transfers share the rate in the order they begin.
type link struct {
	mu   sync.Mutex
	rate int       // bytes per second
	ends time.Time // of the last transfer
}

func (l *link) setRate(rate int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// transfer waits until bytes are transferred. It reports false if the context ends before.
func (l *link) transfer(ctx context.Context, bytes int) bool {
	l.mu.Lock()
	if now := time.Now(); now.After(l.ends) {
		l.ends = now
	}
	l.ends = l.ends.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	wait := time.Until(l.ends)
	l.mu.Unlock()
	return pause.For(ctx, wait)
}

// linkedLog is a store.Log behind a VM's link.
type linkedLog struct {
	store.Log
	link *link
}

func (l linkedLog) Read(ctx context.Context, topic string, part int, from store.ReadOptions) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, from.Wait+callTimeout)
	defer cancel()
	page, err := l.Log.Read(ctx, topic, part, from)
	if err == nil && !l.link.transfer(ctx, page.Bytes()) {
		return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
	}
	return page, err
}

// restartedFleet is a fleet of daemons whose store has the batches of their former processes.
type restartedFleet struct {
	store   *metastore.Store
	start   time.Time
	random  *rand.Rand
	vms     []*recoveryVM
	batches []*storedBatch
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu     sync.Mutex
	silent map[string]bool // by address, daemons that no other one reaches
	reads  readStats
}

// recoveryVM is one VM of a restartedFleet.
type recoveryVM struct {
	address string
	client  *metastore.Client
	link    *link
	service *Service
}

// storedBatch is a batch whose results are all in the store.
type storedBatch struct {
	id      string
	lengths map[string]int // number of events by sample
}

// readStats counts the calls of readers.
type readStats struct {
	calls    int
	failures map[string]int // by error
	slowest  time.Duration  // until a batch was read
}

// recoveryText returns the events of a sample.
func recoveryText(sample string, from, to int) (events []batch.Event) {
	for n := from; n < to; n++ {
		head := fmt.Sprintf("%s:%d:", sample, n)
		events = append(events, batch.Event{Data: head + strings.Repeat("x", recoveryEventBytes-len(head)), Version: 1})
	}
	return events
}

// timedSegment is a segment of a sample's text and when it is written.
type timedSegment struct {
	at       time.Duration
	item     int
	from, to int // events
	last     bool
	batch    int
}

func newRestartedFleet(g *WithT, seed uint64, vms int) *restartedFleet {
	f := &restartedFleet{store: metastore.New(scaleParts), start: time.Now(), random: rand.New(rand.NewPCG(seed, 5)), silent: map[string]bool{}, reads: readStats{failures: map[string]int{}}}
	f.writeBatches(g)
	f.store.SetRateLimits(metastore.RateLimits{ReadBytesPerSecond: scaleReadRate, ReadsPerSecond: recoveryReads, WritesPerSecond: recoveryWrites})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	now := func() time.Duration { return time.Since(f.start) }
	for n := range vms {
		small := n%4 != 3
		v := &recoveryVM{address: fmt.Sprint("10.0.0.", n, ":1"), client: metastore.NewClient(f.store, callTimeout), link: &link{rate: largeLinkRate}}
		if small {
			v.link.rate = smallLinkRate
		}
		v.client.SetFaults(metastore.Faults{Latency: storeLatency})
		v.service = New(Options{
			VM: fmt.Sprint("vm", n), Address: v.address, Small: small, Policy: DefaultPolicy(policy.Set{}), Log: linkedLog{v.client, v.link}, Membership: v.client,
			View: fleet.New(now), Suspects: health.NewSuspects(), Partitions: scaleParts, RecordBytes: 256 << 10, CallBytes: 2 << 20,
			ReaderMemory: membudget.New(smallVMMemory / 4), MemberTTL: 1500 * time.Millisecond, ClaimLease: testLease,
			Peers: recoveryPeers{f, v}, Now: now, Logger: zerolog.Nop(),
		})
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		f.work.Go(func() { v.service.Run(ctx) })
	}
	return f
}

func (f *restartedFleet) stop() {
	f.cancel()
	f.work.Wait()
}

// writeBatches writes the batches of all models, as their owners did.
func (f *restartedFleet) writeBatches(g *WithT) {
	client := metastore.NewClient(f.store, callTimeout)
	assignments := loads.NewPartitionAssignments(scaleParts)
	for n := range recoveryModels {
		assignment := assignments.NewAssignment(fmt.Sprint("m", n))
		assignments.Apply(assignment)
		data, err := encodeModelPartition(assignment)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = client.Append(context.Background(), modelPartitionsTopic, 0, [][]byte{data})
		g.Expect(err).NotTo(HaveOccurred())
		f.writeModel(g, client, assignment)
	}
}

// writeModel writes the batches of one model. Those in progress at the same time share the log.
func (f *restartedFleet) writeModel(g *WithT, client *metastore.Client, assignment loads.PartitionAssignment) {
	var segments []timedSegment
	var own []*storedBatch
	for n := range recoveryBatches {
		b := &storedBatch{id: fmt.Sprint(assignment.Model, "-", n), lengths: map[string]int{}}
		own = append(own, b)
		began := time.Duration(n) * recoveryStep
		segments = append(segments, timedSegment{at: began, item: -1, batch: n})
		for i := range recoverySamples {
			length := recoveryEvents/4 + f.random.IntN(3*recoveryEvents/2+1)
			b.lengths[b.sample(i)] = length
			count := 2 + f.random.IntN(min(5, length-1))
			took := time.Duration(float64(recoveryRun) * float64(length) / (2 * recoveryEvents) * (0.6 + 0.4*f.random.Float64()))
			for s := range count {
				segments = append(segments, timedSegment{at: began + took*time.Duration(s+1)/time.Duration(count), item: i, from: length * s / count, to: length * (s + 1) / count, last: s == count-1, batch: n})
			}
		}
	}
	slices.SortStableFunc(segments, func(a, b timedSegment) int { return cmp.Compare(a.at, b.at) })
	appendOne := func(topic string, data []byte, err error) int64 {
		g.Expect(err).NotTo(HaveOccurred())
		offset, err := client.Append(context.Background(), topic, assignment.Partition, [][]byte{data})
		g.Expect(err).NotTo(HaveOccurred())
		return offset
	}
	for _, s := range segments {
		b := own[s.batch]
		if s.item < 0 {
			f.writeAccepted(g, appendOne, assignment.Model, b)
			continue
		}
		sample := b.sample(s.item)
		blob, err := batch.PackText(recoveryText(sample, s.from, s.to))
		at := batch.TextPosition{Events: s.from, Writer: "w"}
		segment := batch.Segment{Offset: appendOne(textTopic, blob, err), Events: s.to - s.from, Versions: []batch.VersionRun{{Version: 1, Events: s.to - s.from}}}
		var record any = batch.Progress{Batch: b.id, Item: s.item, Position: at, Segment: segment}
		if s.last {
			record = batch.Result{Batch: b.id, Item: s.item, State: batch.Completed, Position: at, Segment: segment}
		}
		data, err := batch.Encode(record)
		appendOne(batchTopic, data, err)
	}
	f.batches = append(f.batches, own...)
}

func (b *storedBatch) sample(i int) string { return fmt.Sprint(b.id, "-", i) }

// writeAccepted writes a batch's requests and the record that accepts it.
func (f *restartedFleet) writeAccepted(g *WithT, appendOne func(string, []byte, error) int64, model string, b *storedBatch) {
	var items []batch.Item
	for i := range recoverySamples {
		items = append(items, batch.Item{ID: b.sample(i), Group: fmt.Sprint(i / 16)})
	}
	requests := requestsOf(items)
	for i := range requests {
		requests[i].Body = append(requests[i].Body, make([]byte, 600)...)
	}
	blobs, counts, err := batch.PackRequests(requests, 255<<10)
	g.Expect(err).NotTo(HaveOccurred())
	head := batch.Header{Host: testHost, Path: testPath, Model: model, MinVersion: 1, WantedGroups: 9, MaxAttempts: 3, RetentionMS: 40_000, TargetMS: 7500, RequestCounts: counts}
	for i, blob := range blobs {
		offset := appendOne(textTopic, blob, nil)
		if i == 0 {
			head.RequestsOffset = offset
		}
	}
	for _, part := range batch.SplitAccepted(b.id, b.id, head, items, 255<<10) {
		data, err := batch.Encode(part)
		appendOne(batchTopic, data, err)
	}
}

// recoveryPeers makes one VM's calls to the daemons of a restartedFleet.
type recoveryPeers struct {
	f    *restartedFleet
	from *recoveryVM
}

func (p recoveryPeers) dial(ctx context.Context, address string) (LocalHandler, *recoveryVM, error) {
	p.f.mu.Lock()
	silent := p.f.silent[address] || p.f.silent[p.from.address]
	p.f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return LocalHandler{}, nil, ErrUnreachable
	}
	if !pause.For(ctx, peerLatency) {
		return LocalHandler{}, nil, ErrUnreachable
	}
	for _, v := range p.f.vms {
		if v.address == address {
			return v.service.LocalHandler(), v, nil
		}
	}
	return LocalHandler{}, nil, ErrUnreachable
}

func (p recoveryPeers) Locate(ctx context.Context, address, id string, confirm bool) (locate.Answer, error) {
	h, _, err := p.dial(ctx, address)
	if err != nil {
		return locate.Answer{}, err
	}
	a := h.Locate(ctx, id, confirm)
	if ctx.Err() != nil {
		return locate.Answer{}, ErrUnreachable
	}
	return a, nil
}

func (p recoveryPeers) List(ctx context.Context, address, id string, after int, wait time.Duration) (Listing, error) {
	h, v, err := p.dial(ctx, address)
	if err != nil {
		return Listing{}, err
	}
	l, err := h.List(ctx, id, after, wait)
	if err == nil && (!v.link.transfer(ctx, bytesOf(l.Blobs)) || !p.from.link.transfer(ctx, bytesOf(l.Blobs))) || ctx.Err() != nil {
		return Listing{}, ErrUnreachable
	}
	return l, err
}

func (p recoveryPeers) End(ctx context.Context, address, id string) error {
	h, _, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return h.End(ctx, id)
}

func (p recoveryPeers) Body(ctx context.Context, address, id, sampleID string) (BodyLocation, error) {
	h, _, err := p.dial(ctx, address)
	if err != nil {
		return BodyLocation{}, err
	}
	return h.Body(ctx, id, sampleID)
}

// readAll reads every batch by several readers at once and returns the batches that some of them
// couldn't read in time.
func (f *restartedFleet) readAll(readers int, until time.Time) (unread []string) {
	var work sync.WaitGroup
	began := time.Now()
	for n, b := range f.batches {
		for r := range readers {
			work.Go(func() {
				err := f.readBatch(b, rand.New(rand.NewPCG(uint64(n), uint64(r))), until)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.reads.slowest = max(f.reads.slowest, time.Since(began))
				if err != nil {
					unread = append(unread, err.Error())
				}
			})
		}
	}
	work.Wait()
	slices.Sort(unread)
	return unread
}

// readBatch reads a batch from the start, each call at a random VM and again after each failure.
func (f *restartedFleet) readBatch(b *storedBatch, random *rand.Rand, until time.Time) error {
	seen := map[string]bool{}
	failed := 0
	var last error
	for len(seen) < recoverySamples {
		if time.Now().After(until) {
			return fmt.Errorf("%s: %d of %d results, %d failed calls, last %w", b.id, len(seen), recoverySamples, failed, last)
		}
		ctx, cancel := context.WithTimeout(context.Background(), readerPatience)
		page, err := f.vms[random.IntN(len(f.vms))].service.Results(ctx, b.id, len(seen), 0)
		if err == nil && ctx.Err() != nil {
			err = errors.New("reader left")
		}
		cancel()
		f.countRead(err)
		if err == nil && len(page.Results) == 0 {
			err = fmt.Errorf("empty page of %d at %d", page.Total, len(seen))
		}
		if err != nil {
			failed++
			last = err
			time.Sleep(readerPause)
			continue
		}
		for _, r := range page.Results {
			if want := recoveryText(r.ID, 0, b.lengths[r.ID]); r.State != batch.Completed || seen[r.ID] || len(r.Text) != len(want)*(recoveryEventBytes+1)-1 || !strings.HasSuffix(r.Text, want[len(want)-1].Data) {
				return fmt.Errorf("%s: result %s isn't whole or comes twice", b.id, r.ID)
			}
			seen[r.ID] = true
		}
	}
	return nil
}

func (f *restartedFleet) countRead(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads.calls++
	if err != nil {
		f.reads.failures[strings.ReplaceAll(err.Error(), "\n", " / ")]++
	}
}

// report logs what the readers' calls came to.
func (f *restartedFleet) report(t *testing.T) {
	t.Logf("%d calls, slowest %v, texts read %.1f MB, records %.1f MB", f.reads.calls, f.reads.slowest, float64(f.store.BytesRead(textTopic))/1e6, float64(f.store.BytesRead(batchTopic))/1e6)
	for _, e := range slices.Sorted(maps.Keys(f.reads.failures)) {
		t.Logf("  %4d x %s", f.reads.failures[e], e)
	}
}

// expectAllRead starts VMs, disrupts them by a function, and expects that every batch is read within
// recoveryBound by several readers each, at any VM.
func expectAllRead(t *testing.T, vms, readers int, disrupt func(*restartedFleet)) {
	t.Run(fmt.Sprint(vms, " VMs, ", readers, " readers"), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newRestartedFleet(g, 1, vms)
			defer f.stop()
			disrupt(f)
			unread := f.readAll(readers, time.Now().Add(recoveryBound))
			f.report(t)
			g.Expect(len(unread)).To(BeZero(), "%.300v", unread)
		})
	})
}

// Guards against accepted batches that can't be read in time when all VMs have been lost and everything is read at once.
func TestAllBatchesAreReadAtOnceAfterLossOfAllVMs(t *testing.T) {
	for _, vms := range []int{61, 122} {
		for _, readers := range []int{1, 3, 6} {
			expectAllRead(t, vms, readers, func(*restartedFleet) {})
		}
	}
}

// Guards against batches that can't be read in time when all VMs but a small one are lost for good.
func TestAllBatchesAreReadAtOnceAtTheLastVM(t *testing.T) {
	expectAllRead(t, 1, 1, func(*restartedFleet) { time.Sleep(5 * time.Second) })
}

// Guards against batches that can't be read in time while the store serves only some VMs.
func TestAllBatchesAreReadWhileTheStoreTurnsSomeVMsAway(t *testing.T) {
	for _, vms := range []int{61, 122} {
		for _, faults := range []metastore.Faults{{Refuse: true, Latency: storeLatency}, {Unreachable: true}} {
			expectAllRead(t, vms, 2, func(f *restartedFleet) {
				for _, v := range f.vms[:vms/3] {
					v.client.SetFaults(faults)
				}
			})
		}
	}
}

// Guards against batches that can't be read in time because no other VM reaches the owners of their partitions.
func TestAllBatchesAreReadWhileTheirOwnersAreSilent(t *testing.T) {
	for _, vms := range []int{61, 122} {
		expectAllRead(t, vms, 1, func(f *restartedFleet) {
			time.Sleep(5 * time.Second)
			for _, v := range f.vms {
				if len(v.service.OwnedPartitions()) > 0 {
					f.silent[v.address] = true
				}
			}
		})
	}
}

// Guards against a read that never returns a result because it begins with the texts of later ones.
func TestReadReturnsSomeResultsOnASharedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newRestartedFleet(g, 1, 4)
		defer f.stop()
		time.Sleep(5 * time.Second)
		for _, v := range f.vms {
			v.link.setRate(smallLinkRate / 15)
		}
		err := f.readBatch(f.batches[0], f.random, time.Now().Add(time.Minute))
		f.report(t)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Package follow keeps a local view of one partition of the shared log up to date and tells
// how old that view may be.
package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// PollWait is how long one read waits for a record. It bounds the age of a healthy view, and
	// thus the time until an unresponsive connection is noticed.
	PollWait = 900 * time.Millisecond
	// IdleWait is the same for an idle view, on which nothing on this daemon currently depends.
	// With PollWait, a fleet of 80 daemons that follow two dozen partitions each would use up
	// the reads that the store allows on waiting alone.
	IdleWait = 4 * time.Second
	// IdlePause is the time between receiving records and the next read of an idle view, so that
	// a busy partition costs a few reads per second instead of one for each append.
	IdlePause = 250 * time.Millisecond
	// contactLostAfter is how long reads must fail before contact with the store counts as lost:
	// when the store refuses calls because there are momentarily too many, that is no outage.
	contactLostAfter = 600 * time.Millisecond
	// StaleAfter is the age from which a view isn't trusted. A healthy view is read again every
	// PollWait, and a slow store answers a few hundred ms later.
	StaleAfter = 1400 * time.Millisecond
	// pageBytes limits the records of one read. All daemons' reads share one rate, and a read
	// that takes too long is given up, which wastes its bytes. Without a limit, a minute's log
	// came as one page, and daemons that started together slowed down each other's pages until
	// none arrived in time. A page of this size takes 0.1 s on a link of 4 Mbit/s, and a few
	// calls read a log of 1 MB.
	pageBytes = 48 << 10
	// minPageBytes is the least limit, so that a topic with few small keys is read in few pages.
	minPageBytes = 8 << 10
)

// defaultBackoff is the wait after failed reads. Its maximum is part of the time that a daemon
// needs to recover after an outage of the store.
var defaultBackoff = retry.Backoff{Initial: 50 * time.Millisecond, Max: 400 * time.Millisecond}

// lowPriorityBackoff is the same for a low-priority view that isn't loaded yet. A thousand
// daemons that start at once ask for more than the store can send within a call's timeout: if
// they retried quickly, their calls would keep timing out for ever.
var lowPriorityBackoff = retry.Backoff{Initial: 50 * time.Millisecond, Max: 16 * time.Second}

// Sink receives the records of a partition. Its methods aren't called concurrently.
type Sink interface {
	// Reset replaces the view by the newest record of each key. It is called only for a keyed
	// topic.
	Reset(entries []store.Entry)
	// Record is called once for each record, in the order of the log.
	Record(offset int64, data []byte)
	// Gap says that records before the offset first were lost. It isn't called for a keyed topic.
	Gap(first int64)
}

// Options of a Follower.
type Options struct {
	Log       store.Log
	Topic     string
	Partition int  // partition number
	Keyed     bool // begin with the newest record of each key
	Sink      Sink
	// OnContact, if set, is called with false when contact with the store is lost, and with true
	// when it is regained.
	OnContact func(up bool)
	// OnLoaded, if set, is called when the view is loaded for the first time after Run began with
	// the oldest record. It must not call the Follower.
	OnLoaded func()
	// StartOffset, if set, returns the offset of the first record that is needed when Run begins, 0 for
	// the oldest one. The topic must not be keyed.
	StartOffset func() int64
	// Idle, if set, reports whether the view is idle: nothing on this daemon currently
	// depends on it. It is then read less often.
	Idle func() bool
	// ReadPause is the time between receiving records and the next read.
	ReadPause time.Duration
	// LowPriority, if set, reports whether the view is of low priority: nothing on this daemon needs
	// it soon. What it lacks is then read with pauses, so that the reads of daemons that need
	// theirs get through.
	LowPriority func() bool
	// MaxLag bounds the pauses of a low-priority view once it is loaded: a record that the view is
	// known to lack is read within about this time.
	MaxLag time.Duration
	// MaxLagApplies, if set, reports whether MaxLag is to be kept now. Otherwise the pauses of a loaded
	// view are those of a view that isn't loaded.
	MaxLagApplies func() bool
	// Now is a monotonic clock that runs on while the VM is suspended.
	Now    func() time.Duration
	Logger zerolog.Logger
}

// Follower keeps the view of one partition up to date. It is safe for concurrent use.
//
// A view is loaded once it has been read to the end of the partition, and up to date while it
// is at that end.
type Follower struct {
	options Options

	mu           sync.Mutex
	next         int64         // offset of the next record to apply
	loaded       bool          // the view was up to date once
	keyScan      keyScan       // of a keyed topic whose newest records are being read
	partitionEnd int64         // offset of the partition's end, the largest that was read
	startedAt    time.Duration // when Run began
	loadedBytes  int           // size of the records applied until the view was loaded
	currentAt    time.Duration // when the view was last known to be up to date
	contactLost  bool          // reads have failed for contactLostAfter
	failingSince time.Duration // since when reads fail, 0: they don't
	readWait     time.Duration // how long the read in progress waits for a record
	readTime     time.Duration // that the last read took for which the store didn't wait
	behindSince  time.Duration // when the view was found to lack records, 0: it doesn't
	recordStats  recordStats   // of a keyed topic
	keySizes     keySizes      // of a keyed topic
	lastKey      string        // last key of the last scan that replaced a loaded view, until checkEnd
	changed      chan struct{} // closed and replaced each time the view was brought up to date

	skipPause chan struct{} // ends the pause of an idle view
}

// New returns a Follower that has read nothing.
func New(o Options) *Follower {
	return &Follower{options: o, changed: make(chan struct{}), skipPause: make(chan struct{}, 1)}
}

// Restart discards the position: the next Run begins with the oldest record. It must not be
// called while Run is running.
func (f *Follower) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = 0
	f.loaded = false
	f.keyScan = keyScan{}
	f.partitionEnd = 0
	f.loadedBytes = 0
	f.contactLost = false
	f.failingSince = 0
	f.behindSince = 0
	f.lastKey = ""
}

// Run follows the partition until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.start()
	failures := 0
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			failures = 0
			f.reportContact(true, nil)
			f.throttle(ctx)
			f.pause(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.reportContact(false, err)
		failures++
		pause.For(ctx, f.retryBackoff().Delay(failures, rand.Float64()))
	}
}

// retryBackoff returns the backoff after a failed read.
func (f *Follower) retryBackoff() retry.Backoff {
	if f.options.LowPriority != nil && !f.Loaded() && f.options.LowPriority() {
		return lowPriorityBackoff
	}
	return defaultBackoff
}

// start sets where and when following begins.
func (f *Follower) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedAt = f.options.Now()
	if f.next == 0 && f.options.StartOffset != nil {
		f.next = f.options.StartOffset()
	}
}

// step does one read.
func (f *Follower) step(ctx context.Context) error {
	if err := f.checkEnd(ctx); err != nil {
		return err
	}
	began := f.options.Now()
	if f.readsNewest() {
		err := f.readKeysPage(ctx)
		f.recordReadTime(began)
		return err
	}
	wait := f.nextWait()
	err := f.read(ctx, wait)
	if wait == 0 {
		f.recordReadTime(began)
	}
	return err
}

// recordReadTime records the time of a read that began at a time. The time of a read for which the
// store waits for a record says nothing about the load on the store.
func (f *Follower) recordReadTime(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTime = f.options.Now() - began
}

// nextWait returns how long the next read waits for a record. A view that isn't loaded or is known
// to lack records, or whose last read failed, is read without waiting.
func (f *Follower) nextWait() time.Duration {
	idle := f.idle()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.loaded || f.failingSince != 0 || f.behindSince != 0:
		f.readWait = 0
	case idle:
		f.readWait = IdleWait
	default:
		f.readWait = PollWait
	}
	return f.readWait
}

// idle reports whether nothing on this daemon currently depends on the view.
func (f *Follower) idle() bool { return f.options.Idle != nil && f.options.Idle() }

// throttle pauses a low-priority view that lacks records.
func (f *Follower) throttle(ctx context.Context) {
	if f.options.LowPriority == nil || !f.options.LowPriority() {
		return
	}
	until := f.options.Now() + f.throttlePause()
	for ctx.Err() == nil && f.options.LowPriority() {
		left := until - f.options.Now()
		if left <= 0 {
			return
		}
		pause.For(ctx, min(left, priorityCheckInterval))
	}
}

// throttlePause returns the pause after the last read if the view is of low priority, and logs it if
// the view is loaded.
func (f *Follower) throttlePause() time.Duration {
	bounded := f.options.MaxLagApplies == nil || f.options.MaxLagApplies()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behindSince == 0 {
		return 0
	}
	length := throttlePause(f.loaded && bounded, f.readTime, f.behindForLocked(), f.options.MaxLag)
	if f.loaded && length > 0 {
		f.options.Logger.Info().Str("topic", f.options.Topic).Int("part", f.options.Partition).Int64("missing", f.partitionEnd-f.next).
			Dur("behind", f.behindForLocked()).Dur("read_took", f.readTime).Dur("pause", length).Msg("reading of a view paused")
	}
	return length
}

// priorityCheckInterval is the time between two checks, during that pause, whether the view is
// still of low priority.
const priorityCheckInterval = 50 * time.Millisecond

// NewestBytes returns the size of the newest records of all keys of a keyed topic, those that the view
// lacks included, as far as it is known.
func (f *Follower) NewestBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keySizes.total + int(float64(f.partitionEnd-f.next)*f.recordStats.mean)
}

// Behind reports whether the view is known to lack records.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behindSince != 0
}

// behindForLocked returns for how long the view has been known to lack records, 0 if it isn't.
func (f *Follower) behindForLocked() time.Duration {
	if f.behindSince == 0 {
		return 0
	}
	return f.options.Now() - f.behindSince
}

// pause waits between two reads of a partition, to limit their number if it is busy. What the view is
// known to lack is read at once: a page in each pause may be less than is written meanwhile.
func (f *Follower) pause(ctx context.Context) {
	if !f.upToDate() {
		return
	}
	pause.For(ctx, f.options.ReadPause)
	if !f.idle() {
		return
	}
	timer := time.NewTimer(IdlePause - f.options.ReadPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.skipPause:
	case <-ctx.Done():
	}
}

// SkipPause ends the pause of an idle view, for a caller that waits for its next record.
func (f *Follower) SkipPause() {
	select {
	case f.skipPause <- struct{}{}:
	default:
	}
}

// InContact reports whether the store answers reads of the view: the last one didn't fail.
func (f *Follower) InContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.contactLost && f.failingSince == 0
}

// upToDate reports whether the view is loaded and not known to lack records.
func (f *Follower) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.behindSince == 0
}

// read reads records from the next offset on and applies them. If there are none, the store
// waits for one, at most for the time wait.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	_, err := f.readPage(ctx, wait)
	return err
}

// readPage is read. It returns where the partition ends, -1 if the records were lost.
func (f *Follower) readPage(ctx context.Context, wait time.Duration) (end int64, err error) {
	from := f.NextOffset()
	page, err := f.options.Log.Read(ctx, f.options.Topic, f.options.Partition, store.ReadOptions{Offset: from, MaxBytes: f.pageLimit(), Wait: wait})
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		return -1, f.skipGap(ctx, trimmed.First)
	}
	if err != nil {
		return -1, err
	}
	f.apply(from, page)
	return page.End, nil
}

// pageLimit returns the size of the next page. Of a keyed topic nobody needs more records than all
// keys have newest ones: what is missing beyond that is superseded.
func (f *Follower) pageLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.options.Keyed {
		return pageBytes
	}
	return min(pageBytes, max(minPageBytes, f.keySizes.total))
}

// skipGap continues after records that the store has dropped before they were read: of a keyed
// topic the newest records are read again, any other topic is read from the oldest record that
// is kept.
func (f *Follower) skipGap(ctx context.Context, firstKept int64) error {
	f.options.Logger.Warn().Str("topic", f.options.Topic).Int("part", f.options.Partition).
		Int64("next", f.NextOffset()).Int64("first_kept", firstKept).Msg("records lost before they were read")
	if f.options.Keyed {
		return f.readKeysPage(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if firstKept > f.next {
		f.options.Sink.Gap(firstKept)
		f.next = firstKept
	}
	return nil
}

// apply passes the records of a page that begins at the offset from to the sink.
func (f *Follower) apply(from int64, page store.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	superseding := 0 // bytes
	for i, record := range page.Records {
		offset := from + int64(i)
		if offset < f.next {
			continue // applied by a concurrent read
		}
		f.options.Sink.Record(offset, record)
		f.next = offset + 1
		if f.options.Keyed && f.keySizes.apply(record) {
			superseding += len(record)
		}
		if !f.loaded {
			f.loadedBytes += len(record)
		}
	}
	f.recordStats.add(page, superseding)
	f.updateEndLocked(page.End)
}

// updateEndLocked records where the partition ends according to a response. Responses of concurrent
// reads may arrive in another order than they were made in, and a partition's end never decreases.
func (f *Follower) updateEndLocked(end int64) {
	f.partitionEnd = max(f.partitionEnd, end)
	if f.next >= f.partitionEnd {
		f.markLoadedLocked()
	} else {
		f.markBehindLocked()
	}
}

// markBehindLocked records that the view lacks records.
func (f *Follower) markBehindLocked() {
	if f.behindSince == 0 {
		f.behindSince = f.options.Now()
	}
}

// markLoadedLocked records that the view is up to date, and logs the first time that it is.
func (f *Follower) markLoadedLocked() {
	if !f.loaded {
		f.options.Logger.Info().Str("topic", f.options.Topic).Int("part", f.options.Partition).Int64("next", f.next).
			Int("bytes", f.loadedBytes).Dur("took", f.options.Now()-f.startedAt).Msg("view is whole")
		if f.options.OnLoaded != nil {
			f.options.OnLoaded()
		}
	}
	f.loaded = true
	f.markCurrentLocked()
}

// markCurrentLocked records that the view is up to date now, and wakes those that wait for it.
func (f *Follower) markCurrentLocked() {
	if lag := f.behindForLocked(); f.options.MaxLag > 0 && lag > f.options.MaxLag {
		f.options.Logger.Warn().Str("topic", f.options.Topic).Int("part", f.options.Partition).Int64("next", f.next).
			Dur("behind", lag).Dur("max_lag", f.options.MaxLag).Msg("view was behind for too long")
	}
	f.behindSince = 0
	f.currentAt = f.options.Now()
	close(f.changed)
	f.changed = make(chan struct{})
}

// reportContact records whether a read succeeded, and reports contact lost or regained.
func (f *Follower) reportContact(up bool, err error) {
	if !f.recordReadResult(up) {
		return
	}
	event := f.options.Logger.Info()
	if !up {
		event = f.options.Logger.Warn().Err(err)
	}
	event.Str("topic", f.options.Topic).Int("part", f.options.Partition).Bool("up", up).Msg("store contact changed")
	if f.options.OnContact != nil {
		f.options.OnContact(up)
	}
}

// recordReadResult records whether a read succeeded, and reports whether contact with the store
// is lost or regained by that.
func (f *Follower) recordReadResult(up bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	if up {
		f.failingSince = 0
	} else if f.failingSince == 0 {
		f.failingSince = now
	}
	lost := !up && (f.contactLost || now-f.failingSince >= contactLostAfter)
	changed := lost != f.contactLost
	f.contactLost = lost
	return changed
}

// Lag returns the view's age beyond what its waiting read explains. If it stays above zero, the
// store doesn't answer or can't be reached.
func (f *Follower) Lag() time.Duration {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, age-f.readWait)
}

// NextOffset returns the offset of the next record to read.
func (f *Follower) NextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Loaded reports whether the view has been read to the end of the partition once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Age returns the time since the view was last known to be up to date, an hour if it isn't
// loaded.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return time.Hour
	}
	return f.options.Now() - f.currentAt
}

// Changed returns a channel that is closed at the next read that brings the view up to date.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Inspect describes the view for operators.
func (f *Follower) Inspect() inspect.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := inspect.View{Topic: f.options.Topic, Part: f.options.Partition, NextOffset: f.next, AgeMS: -1, InContact: !f.contactLost}
	if f.loaded {
		out.AgeMS = (f.options.Now() - f.currentAt).Milliseconds()
	}
	return out
}

// CatchUp reads to the end that the partition has now, concurrently with a read of Run that may be
// waiting.
func (f *Follower) CatchUp(ctx context.Context) error {
	if !f.Loaded() {
		return fmt.Errorf("%w: nothing read yet", store.ErrNotDone)
	}
	for end := int64(-1); end < 0 || f.NextOffset() < end; {
		pageEnd, err := f.readPage(ctx, 0)
		if err != nil {
			return err
		}
		if end < 0 {
			end = pageEnd
		}
	}
	return nil
}

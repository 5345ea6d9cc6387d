package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// partition is the state of one partition of the batches' topic at this daemon.
type partition struct {
	number   int
	follower *follow.Follower
	now      func() time.Duration
	log      zerolog.Logger

	needs chan struct{} // wakes run when a hold begins

	mu        sync.Mutex
	following bool          // the log is read, the fold is of what was read since
	holds     int           // who needs the view now
	released  time.Duration // when the last hold ended
	live      bool          // records are applied as they are written, not replayed

	fold    *batch.Fold
	waiters map[string]chan struct{} // by batch, closed at its next change
	// The owner's; nil if this daemon isn't it. Both are called under mu.
	wake      func()
	onIgnored func(sampleKey)
}

func newPartition(number int, now func() time.Duration, log zerolog.Logger) *partition {
	return &partition{number: number, now: now, log: log, needs: make(chan struct{}, 1), fold: batch.NewFold(), waiters: map[string]chan struct{}{}}
}

const (
	// linger is how long a partition is followed on after the last need of it: a daemon
	// that had to answer for a batch itself is asked for the same one again within
	// seconds.
	linger = 10 * time.Second
	// lingerLook is between two looks whether anybody still needs the view.
	lingerLook = time.Second
)

// run follows the log whenever somebody here needs the view, until the context ends. A
// daemon follows the partitions that it owns. Were it to follow all of them, the reads
// and bytes of a fleet would grow with its daemons times the partitions, and daemons that
// start together would need minutes of the store's whole rate.
func (p *partition) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.needs:
			p.session(ctx)
		}
	}
}

// session follows the log from its oldest record until nobody needs the view any more,
// and then forgets it.
func (p *partition) session(ctx context.Context) {
	if !p.begin() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		p.follower.Run(ctx)
		close(done)
	}()
	for ctx.Err() == nil && !p.end() {
		pause.For(ctx, lingerLook)
	}
	cancel()
	<-done
	p.forget()
}

// begin reports whether somebody needs the view, which is followed from now on.
func (p *partition) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.following = p.holds > 0
	return p.following
}

// end reports whether nobody has needed the view for a while, which isn't followed from
// now on: whoever holds it next waits for a new session. A view that isn't whole is of no
// use to those that come: they are daemons without a way to the store or to the owner, and
// all of them would read on when an outage ends.
func (p *partition) end() bool {
	whole := p.follower.Loaded()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds > 0 || whole && p.now()-p.released < linger {
		return false
	}
	p.following = false
	return true
}

// forget drops what was read. Nobody holds the view.
func (p *partition) forget() {
	p.mu.Lock()
	p.following = false
	p.live = false
	p.fold = batch.NewFold()
	for id, w := range p.waiters {
		close(w)
		delete(p.waiters, id)
	}
	p.mu.Unlock()
	p.follower.Restart()
	p.log.Info().Int("part", p.number).Msg("partition not followed any more")
	p.wakeRun()
}

// hold keeps the view followed until release is called once.
func (p *partition) hold() (release func()) {
	p.mu.Lock()
	p.holds++
	p.mu.Unlock()
	p.wakeRun()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.holds--
		p.released = p.now()
	})
}

func (p *partition) wakeRun() {
	select {
	case p.needs <- struct{}{}:
	default:
	}
}

// loaded reports whether the view was whole once since it's followed.
func (p *partition) loaded() bool {
	// Not under mu: records are applied under the follower's lock.
	return p.isFollowed() && p.follower.Loaded()
}

func (p *partition) isFollowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.following
}

// held reports whether somebody here needs the view now.
func (p *partition) held() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.following && p.holds > 0
}

// await waits until the view, which the caller holds, is whole.
func (p *partition) await(ctx context.Context) error {
	for {
		changed := p.follower.Changed()
		if p.loaded() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Record applies a record of the log.
func (p *partition) Record(offset int64, data []byte) {
	record, err := batch.Decode(data)
	if err != nil {
		p.log.Error().Err(err).Int("part", p.number).Int64("offset", offset).Msg("record skipped")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.fold.Apply(record, p.now())
	if changed == nil {
		p.ignoredLocked(record)
		return
	}
	if _, accepted := record.(batch.Accepted); accepted && !p.live {
		changed.Backdate(ageOf(changed.AcceptedMS))
	}
	if waiter := p.waiters[changed.ID]; waiter != nil {
		close(waiter)
		delete(p.waiters, changed.ID)
	}
	if p.wake != nil {
		p.wake()
	}
}

// markLive notes that the oldest records are behind.
func (p *partition) markLive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = true
}

// maxAge bounds what a wrong clock can make of a batch's age. Batches are run for less.
const maxAge = time.Minute

// ageOf is how long ago a batch was accepted that is read of now. A daemon that takes a
// partition over reads all of its batches at one moment; were they all new to it, the last
// samples of an old step, which is nearly late, would wait behind the first of a new one.
func ageOf(acceptedMS int64) time.Duration {
	if acceptedMS == 0 {
		return 0 // the record doesn't tell
	}
	age := time.Duration(time.Now().UnixMilli()-acceptedMS) * time.Millisecond
	return min(max(age, 0), maxAge)
}

// ignoredLocked tells the owner of a result that didn't count: its text went on
// from another one than what the log keeps, so the sample has to run again.
func (p *partition) ignoredLocked(record any) {
	r, ok := record.(batch.Result)
	if !ok || p.onIgnored == nil {
		return
	}
	if b := p.fold.Get(r.Batch); b != nil && r.Item < len(b.Samples) && b.Samples[r.Item].State == batch.Open {
		p.onIgnored(sampleKey{r.Batch, r.Item})
	}
}

// Gap: the topic is kept longer than any batch has to be, so what is missing
// belongs to batches that are over.
func (p *partition) Gap(first int64) {
	p.log.Warn().Int("part", p.number).Int64("first_kept", first).Msg("records of old batches are gone")
}

// Reset is never called: the topic has no keys.
func (p *partition) Reset([]store.Entry) {}

// relaxed: neither an owner nor a reader here depends on the partition.
func (p *partition) relaxed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wake == nil && len(p.waiters) == 0
}

func (p *partition) setOwner(wake func(), onIgnored func(sampleKey)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake = wake
	p.onIgnored = onIgnored
}

// view runs a function on a batch under the lock; b is nil if there is none.
func (p *partition) view(id string, f func(b *batch.Batch)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.fold.Get(id))
}

// batchSize is the number of samples of the model's last batch, 0 if there was none.
func (p *partition) batchSize(model string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, b := range p.fold.All() {
		if b.Model == model {
			size = len(b.Samples)
		}
	}
	return size
}

func (p *partition) has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Get(id) != nil
}

// waiter returns a channel that is closed at the batch's next change.
func (p *partition) waiterLocked(id string) <-chan struct{} {
	w := p.waiters[id]
	if w == nil {
		w = make(chan struct{})
		p.waiters[id] = w
	}
	return w
}

package batchrun

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// partition is the state of one partition of the batches' topic at this daemon.
type partition struct {
	number   int
	follower *follow.Held // followed by its owner, and by whoever finds no owner to ask
	fleet    *fleet.View
	now      func() time.Duration
	log      zerolog.Logger

	mu   sync.Mutex
	live bool // records are applied as they are written, not replayed

	fold    *batch.Fold
	waiters map[string]chan struct{} // by batch, closed at its next change
	// The owner's; nil if this daemon isn't it. Both are called under mu.
	wake      func()
	onIgnored func(sampleKey)
}

func newPartition(number int, o Options) *partition {
	p := &partition{number: number, fleet: o.View, now: o.Now, log: o.Logger, fold: batch.NewFold(), waiters: map[string]chan struct{}{}}
	p.follower = follow.NewHeld(follow.HeldOptions{
		Options: follow.Options{Log: o.Log, Topic: batchTopic, Part: number, Sink: p, Relaxed: p.relaxed, OnWhole: p.markLive, Now: o.Now, Logger: o.Logger},
		Linger:  linger, OnForget: p.forget,
	})
	return p
}

// linger is how long a partition is followed on after the last need of it: a daemon that
// had to answer for a batch itself is asked for the same one again within seconds.
const linger = 10 * time.Second

// forget drops what was read. Nobody holds the view.
func (p *partition) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = false
	p.fold = batch.NewFold()
	for id, w := range p.waiters {
		close(w)
		delete(p.waiters, id)
	}
}

// Record applies a record of the log.
func (p *partition) Record(offset int64, data []byte) {
	record, err := batch.Decode(data)
	if err != nil {
		p.log.Error().Err(err).Int("part", p.number).Int64("offset", offset).Msg("record skipped")
		return
	}
	if l, ok := record.(batch.Loaded); ok {
		loaded(p.fleet, l)
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

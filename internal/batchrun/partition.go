package batchrun

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// partition is the state of one partition of the batches' topic at this daemon.
type partition struct {
	number   int
	follower *follow.Follower
	now      func() time.Duration
	log      zerolog.Logger

	mu      sync.Mutex
	fold    *batch.Fold
	waiters map[string]chan struct{} // by batch, closed at its next change
	// The owner's; nil if this daemon isn't it. Both are called under mu.
	wake      func()
	onIgnored func(sampleKey)
}

func newPartition(number int, now func() time.Duration, log zerolog.Logger) *partition {
	return &partition{number: number, now: now, log: log, fold: batch.NewFold(), waiters: map[string]chan struct{}{}}
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
	if waiter := p.waiters[changed.ID]; waiter != nil {
		close(waiter)
		delete(p.waiters, changed.ID)
	}
	if p.wake != nil {
		p.wake()
	}
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

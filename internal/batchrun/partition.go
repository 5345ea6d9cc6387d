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

// partition is this daemon's view of one partition of the batches topic.
type partition struct {
	number   int
	follower *follow.OnDemand // held by the partition's owner, and by calls that reach no owner
	fleet    *fleet.View
	now      func() time.Duration
	log      zerolog.Logger

	mu   sync.Mutex
	live bool // the existing records have been read; further ones are applied as they are written

	state   *batch.Fold              // by the records read so far
	waiters map[string]chan struct{} // by batch ID, closed at the batch's next change
	// Callbacks of the owner, nil while this daemon isn't the owner. Called under mu.
	wakeOwner       func()
	onResultIgnored func(sampleKey)
}

func newPartition(number int, o Options) *partition {
	p := &partition{number: number, fleet: o.View, now: o.Now, log: o.Logger, state: batch.NewFold(), waiters: map[string]chan struct{}{}}
	p.follower = follow.NewOnDemand(follow.OnDemandOptions{
		Options: follow.Options{Log: o.Log, Topic: batchTopic, Partition: number, Sink: p, Idle: p.hasNoDependents, OnLoaded: p.markLive, Now: o.Now, Logger: o.Logger},
		Linger:  followLinger, OnDiscard: p.discard,
	})
	return p
}

// followLinger is how long a partition is still followed after its last hold is released:
// a daemon that had to answer for a batch itself is asked for the same one again within
// seconds.
const followLinger = 10 * time.Second

// discard drops the view's state. It is called when nobody holds the view any more.
func (p *partition) discard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = false
	p.state = batch.NewFold()
	for id, w := range p.waiters {
		close(w)
		delete(p.waiters, id)
	}
}

// Record applies a record of the log.
func (p *partition) Record(offset int64, data []byte) {
	record, err := batch.Decode(data)
	if err != nil {
		p.log.Error().Err(err).Int("part", p.number).Int64("offset", offset).Msg("skipped a malformed record")
		return
	}
	if l, ok := record.(batch.Loaded); ok {
		recordLoaded(p.fleet, l)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.state.Apply(record, p.now())
	if changed == nil {
		p.reportIgnoredLocked(record)
		return
	}
	if _, accepted := record.(batch.Accepted); accepted && !p.live {
		changed.Backdate(batchAge(changed.AcceptedMS))
	}
	if waiter := p.waiters[changed.ID]; waiter != nil {
		close(waiter)
		delete(p.waiters, changed.ID)
	}
	if p.wakeOwner != nil {
		p.wakeOwner()
	}
}

// markLive is called once the existing records have been read.
func (p *partition) markLive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = true
}

// maxBatchAge bounds a batch's age against wrong clocks. No batch runs for as long.
const maxBatchAge = time.Minute

// batchAge returns how long ago a batch was accepted, from the Unix time in ms in its
// record. A daemon that takes a partition over reads the records of all its batches at
// once. If it took them all for new, the last samples of an old step, which is nearly
// late, would wait behind the first samples of a new one.
func batchAge(acceptedMS int64) time.Duration {
	if acceptedMS == 0 {
		return 0 // not in the record
	}
	age := time.Duration(time.Now().UnixMilli()-acceptedMS) * time.Millisecond
	return min(max(age, 0), maxBatchAge)
}

// reportIgnoredLocked tells the owner that a result had no effect: its text doesn't
// continue the one that the log keeps, so the sample has to run again.
func (p *partition) reportIgnoredLocked(record any) {
	r, ok := record.(batch.Result)
	if !ok || p.onResultIgnored == nil {
		return
	}
	if b := p.state.Get(r.Batch); b != nil && r.Item < len(b.Samples) && b.Samples[r.Item].State == batch.Open {
		p.onResultIgnored(sampleKey{r.Batch, r.Item})
	}
}

// Gap is called when records before an offset are missing. The topic's retention is longer
// than any batch has to be kept, so they belong to batches that are over.
func (p *partition) Gap(first int64) {
	p.log.Warn().Int("part", p.number).Int64("first_kept", first).Msg("records of old batches have expired")
}

// Reset is never called: the topic isn't keyed.
func (p *partition) Reset([]store.Entry) {}

// hasNoDependents reports whether neither an owner nor a reader on this daemon depends on
// the partition.
func (p *partition) hasNoDependents() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wakeOwner == nil && len(p.waiters) == 0
}

// setOwnerCallbacks sets the callbacks of the partition's owner; nil for none.
func (p *partition) setOwnerCallbacks(wake func(), onIgnored func(sampleKey)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeOwner = wake
	p.onResultIgnored = onIgnored
}

// withBatch calls a function with a batch under the lock; b is nil if there is no such
// batch.
func (p *partition) withBatch(id string, f func(b *batch.Batch)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.state.Get(id))
}

// lastBatchSize returns the number of samples in the model's last batch, 0 if there was
// none.
func (p *partition) lastBatchSize(model string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, b := range p.state.All() {
		if b.Model == model {
			size = len(b.Samples)
		}
	}
	return size
}

func (p *partition) hasBatch(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Get(id) != nil
}

// waiterLocked returns a channel that is closed at the batch's next change.
func (p *partition) waiterLocked(id string) <-chan struct{} {
	w := p.waiters[id]
	if w == nil {
		w = make(chan struct{})
		p.waiters[id] = w
	}
	return w
}

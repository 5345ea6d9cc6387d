package duties

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// All records of the duties are in one partition, because decisions depend on the order of
// the records.
const (
	topic = "duties"
	part  = 0
)

// logRecord is a record of the duties' log. One of Usage and Ordered is set.
type logRecord struct {
	Usage   *usage.Record `cbor:"1,keyasint,omitempty"`
	Ordered *orderRecord  `cbor:"2,keyasint,omitempty"`
	// AtMS is the time of the append in Unix ms, by the writer's clock.
	AtMS int64 `cbor:"3,keyasint"`
}

// orderRecord is a log record of an order of servers that was placed, or may have been. If
// Unavailable is set, no servers were available; the record keeps the standbys from ordering
// again at once.
type orderRecord struct {
	Service     string        `cbor:"1,keyasint"`
	Order       scaling.Order `cbor:"2,keyasint"`
	Unavailable bool          `cbor:"3,keyasint,omitempty"`
}

var errMalformed = errors.New("duties: malformed record")

// decodeRecord decodes a log record. Error: errMalformed.
func decodeRecord(data []byte) (logRecord, error) {
	var r logRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return logRecord{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return r, nil
}

// encode sets the record's time and encodes it.
func (r logRecord) encode(now time.Time) ([]byte, error) {
	r.AtMS = now.UnixMilli()
	return cbor.Marshal(r)
}

// catchUpTimeout bounds the reads that bring the view up to date before an action.
const catchUpTimeout = 800 * time.Millisecond

// view is the state of the duties, read from their log.
type view struct {
	options  Options
	follower *follow.Follower

	mu             sync.Mutex
	usage          *usage.State
	planners       map[string]*scaling.Planner // by service
	inContactSince time.Duration               // since when the store has answered without an interruption
	recordsLost    bool                        // log records are missing, and none after them has been read yet
}

func newView(o Options) *view {
	v := &view{options: o}
	v.reset()
	always := func() bool { return true } // catchUp brings the view up to date before each action
	v.follower = follow.New(follow.Options{Log: o.Log, Topic: topic, Partition: part, Sink: v, OnContact: v.onContact, Idle: always, Now: o.Now, Logger: o.Logger})
	return v
}

// reset makes the view empty.
func (v *view) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usage = usage.NewState()
	v.planners = map[string]*scaling.Planner{}
	v.inContactSince = v.options.Now()
	v.recordsLost = false
}

// follow reads the log, from its oldest record on, until the context ends.
func (v *view) follow(ctx context.Context) {
	v.reset()
	v.follower.Restart()
	v.follower.Run(ctx)
}

// Reset implements follow.Sink. It is never called, since the topic has no keys.
func (v *view) Reset([]store.Entry) {}

// Gap implements follow.Sink. It is called when records are missing because they have expired
// or the store has lost its data.
func (v *view) Gap(int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordsLost = true
}

// clockMargin is an upper bound on the error of a record's time, due to differing clocks of
// VMs and to the duration of the append.
const clockMargin = 3 * time.Second

// endGapLocked is called after missing records, with the time of the next record. Windows
// that ended before this time are dropped: they may have been reported, but the record of
// their counts is missing. Reporting such a window again, with the late counts that are still
// in the log, would give it two different reports.
func (v *view) endGapLocked(at time.Time) {
	if !v.recordsLost || v.options.Usage == nil {
		return
	}
	v.recordsLost = false
	first := v.options.Usage.Windows.IndexAt(at.Add(clockMargin))
	v.usage.DropBefore(first)
	v.options.Logger.Warn().Int64("first_window", first).Msg("records of the duties are missing from the log, earlier windows are no longer reported")
}

// Record implements follow.Sink. It applies a record of the log.
func (v *view) Record(offset int64, data []byte) {
	r, err := decodeRecord(data)
	if err != nil {
		v.options.Logger.Error().Err(err).Int64("offset", offset).Msg("skipped a malformed record of the duties")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endGapLocked(time.UnixMilli(r.AtMS))
	switch {
	case r.Usage != nil:
		v.usage.Apply(*r.Usage)
	case r.Ordered != nil:
		v.applyOrderLocked(*r.Ordered)
	}
}

// applyOrderLocked updates the planner of an order's service.
func (v *view) applyOrderLocked(o orderRecord) {
	planner, now := v.plannerLocked(o.Service), v.options.Now()
	if o.Unavailable {
		planner.RecordUnavailable(o.Order.Pool, now)
		return
	}
	planner.RecordOrder(o.Order, now)
}

// plannerLocked returns the planner of a service, which it adds if necessary.
func (v *view) plannerLocked(service string) *scaling.Planner {
	planner := v.planners[service]
	if planner == nil {
		planner = scaling.NewPlanner()
		v.planners[service] = planner
	}
	return planner
}

// onContact is called when the contact with the store is lost or regained.
func (v *view) onContact(bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inContactSince = v.options.Now()
}

// catchUp reads the log to its end, so that the view includes what other daemons have done.
// It reports whether it succeeded.
func (v *view) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	err := v.follower.CatchUp(ctx)
	if err != nil {
		v.options.Logger.Info().Err(err).Msg("duties' log not read to its end, nothing is done")
	}
	return err == nil
}

// append appends a record and reports whether it succeeded. After a failure the record may
// be in the log nevertheless. Appending it again is harmless.
func (v *view) append(ctx context.Context, r logRecord) bool {
	data, err := r.encode(v.options.Clock())
	if err == nil {
		_, err = store.AppendIdempotent(ctx, v.options.Log, topic, part, [][]byte{data}, 1)
	}
	if err != nil {
		v.options.Logger.Warn().Err(err).Msg("record of the duties not appended")
	}
	return err == nil
}

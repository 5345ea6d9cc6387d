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

// The duties' records lie in one partition: what is decided follows from what stands before
// it.
const (
	topic = "duties"
	part  = 0
)

// entry is a record of the duties' log. One of Usage and Ordered is set.
type entry struct {
	Usage   *usage.Record `cbor:"1,keyasint,omitempty"`
	Ordered *ordered      `cbor:"2,keyasint,omitempty"`
	// AtMS is the time of day of the append in Unix ms, by its writer.
	AtMS int64 `cbor:"3,keyasint"`
}

// ordered says that servers of a service were ordered, or may have been; or that none was to
// be had, so that those that stand in don't ask again at once.
type ordered struct {
	Service     string        `cbor:"1,keyasint"`
	Order       scaling.Order `cbor:"2,keyasint"`
	Unavailable bool          `cbor:"3,keyasint,omitempty"`
}

var errMalformed = errors.New("duties: malformed record")

func decodeEntry(data []byte) (entry, error) {
	var e entry
	if err := cbor.Unmarshal(data, &e); err != nil {
		return entry{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return e, nil
}

func (e entry) encode(now time.Time) ([]byte, error) {
	e.AtMS = now.UnixMilli()
	return cbor.Marshal(e)
}

// readTimeout bounds a read that brings the view up to date before a step.
const readTimeout = 800 * time.Millisecond

// view follows the duties' log.
type view struct {
	options  Options
	follower *follow.Follower

	mu     sync.Mutex
	usage  *usage.State
	orders map[string]*scaling.Ledger // by service
	since  time.Duration              // when the store's answers began without an interruption
	gap    bool                       // records are lost, and none after them was read yet
}

func newView(o Options) *view {
	v := &view{options: o}
	v.reset()
	always := func() bool { return true } // it is brought up to date before each step
	v.follower = follow.New(follow.Options{Log: o.Log, Topic: topic, Part: part, Sink: v, OnContact: v.contact, Relaxed: always, Now: o.Now, Logger: o.Logger})
	return v
}

// reset forgets what was read.
func (v *view) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usage = usage.NewState()
	v.orders = map[string]*scaling.Ledger{}
	v.since = v.options.Now()
	v.gap = false
}

// follow reads the log from its oldest record until the context ends.
func (v *view) follow(ctx context.Context) {
	v.reset()
	v.follower.Restart()
	v.follower.Run(ctx)
}

// Reset is never called: the topic has no keys.
func (v *view) Reset([]store.Entry) {}

// Gap says that records are lost: they expired, or the store forgot its history.
func (v *view) Gap(int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gap = true
}

// lostMargin covers what clocks of VMs and an append under way make of a record's time.
const lostMargin = 3 * time.Second

// startLocked ends a gap at the time of the first record that is kept. The windows that had
// ended by then may have been reported, and the record that says with which counts is lost.
// Reported again, with what late counts are left, such a window would have two reports.
func (v *view) startLocked(at time.Time) {
	if !v.gap || v.options.Usage == nil {
		return
	}
	v.gap = false
	first := v.options.Usage.Windows.IndexAt(at.Add(lostMargin))
	v.usage.DropBefore(first)
	v.options.Logger.Warn().Int64("first_window", first).Msg("records of the duties are lost, earlier windows are left as they are")
}

// Record applies a record of the log.
func (v *view) Record(offset int64, data []byte) {
	e, err := decodeEntry(data)
	if err != nil {
		v.options.Logger.Error().Err(err).Int64("offset", offset).Msg("record of the duties skipped")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.startLocked(time.UnixMilli(e.AtMS))
	switch {
	case e.Usage != nil:
		v.usage.Apply(*e.Usage)
	case e.Ordered != nil:
		v.orderedLocked(*e.Ordered)
	}
}

func (v *view) orderedLocked(o ordered) {
	l, now := v.ledgerLocked(o.Service), v.options.Now()
	if o.Unavailable {
		l.Refused(o.Order.Key, now)
		return
	}
	l.Ordered(o.Order, now)
}

func (v *view) ledgerLocked(service string) *scaling.Ledger {
	l := v.orders[service]
	if l == nil {
		l = scaling.NewLedger()
		v.orders[service] = l
	}
	return l
}

func (v *view) contact(bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.since = v.options.Now()
}

// catchUp brings the view up to date: what another daemon did has to be known.
func (v *view) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := v.follower.CatchUp(ctx)
	if err != nil {
		v.options.Logger.Info().Err(err).Msg("duties' log not read to its end, nothing is done")
	}
	return err == nil
}

// append writes a record, which may stand twice.
func (v *view) append(ctx context.Context, e entry) bool {
	data, err := e.encode(v.options.Clock())
	if err == nil {
		_, err = store.AppendRepeatable(ctx, v.options.Log, topic, part, [][]byte{data}, 1)
	}
	if err != nil {
		v.options.Logger.Warn().Err(err).Msg("record of the duties not appended")
	}
	return err == nil
}

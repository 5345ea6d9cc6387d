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

// entry is a record of the duties' log. Exactly one field is set.
type entry struct {
	Usage   *usage.Record `cbor:"1,keyasint,omitempty"`
	Ordered *ordered      `cbor:"2,keyasint,omitempty"`
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

// appendEntry writes a record that counts once however often it stands in the log.
func appendEntry(ctx context.Context, log store.Log, e entry, try int) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRejected, err)
	}
	_, err = store.AppendRepeatable(ctx, log, topic, part, [][]byte{data}, try)
	return err
}

// readTimeout bounds a read that brings the view up to date before a step.
const readTimeout = 800 * time.Millisecond

// view follows the duties' log.
type view struct {
	options  Options
	follower *follow.Follower

	mu     sync.Mutex
	usage  *usage.Fold
	orders map[string]*scaling.Ledger // by service
	since  time.Duration              // when the store's answers began without an interruption
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
	v.usage = usage.NewFold()
	v.orders = map[string]*scaling.Ledger{}
	v.since = v.options.Now()
}

// follow reads the log from its oldest record until the context ends.
func (v *view) follow(ctx context.Context) {
	v.reset()
	v.follower.Restart()
	v.follower.Run(ctx)
}

// Reset is never called: the topic has no keys.
func (v *view) Reset([]store.Entry) {}

// Gap: what is lost was older than the log's retention, and so are the reports and servers
// that it was about.
func (v *view) Gap(int64) {}

// Record applies a record of the log.
func (v *view) Record(offset int64, data []byte) {
	e, err := decodeEntry(data)
	if err != nil {
		v.options.Logger.Error().Err(err).Int64("offset", offset).Msg("record of the duties skipped")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
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
	err := appendEntry(ctx, v.options.Log, e, 1)
	if err != nil {
		v.options.Logger.Warn().Err(err).Msg("record of the duties not appended")
	}
	return err == nil
}

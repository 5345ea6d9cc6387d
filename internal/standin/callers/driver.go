package callers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/balance"
)

// maxOpen bounds the calls on their way in an open loop; what would begin above
// it is counted as shed.
const maxOpen = 8192

type driver struct {
	options  Options
	balancer *balance.Balancer
	client   *http.Client
	record   *recorder
}

// Run drives the load until its end; calls on their way are waited for.
func Run(ctx context.Context, options Options) *Result {
	options = options.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d := &driver{
		options:  options,
		balancer: balance.New(options.Daemons),
		client:   &http.Client{Transport: transport},
		record:   newRecorder(),
	}
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	go d.balancer.Run(checks)
	begun := time.Now()
	if options.Rate > 0 {
		d.openLoop(ctx)
	} else {
		d.closedLoop(ctx)
	}
	return d.record.result(time.Since(begun))
}

// openLoop begins calls at random times of a given rate, whatever became of
// the calls before; latency counts from the time a call was due.
func (d *driver) openLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 2))
	var open sync.WaitGroup
	defer open.Wait()
	slots := make(chan struct{}, maxOpen)
	due := time.Now()
	end := due.Add(d.options.Duration)
	for number := range d.options.Calls {
		due = due.Add(time.Duration(random.ExpFloat64() / d.options.Rate * float64(time.Second)))
		c := d.options.newCall(random, number)
		if due.After(end) || !sleepUntil(ctx, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			d.record.shed()
			continue
		}
		began := due
		open.Go(func() {
			defer func() { <-slots }()
			d.carryOut(ctx, c, began)
		})
	}
}

// closedLoop keeps Concurrency calls on their way.
func (d *driver) closedLoop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := make(chan *call)
	var workers sync.WaitGroup
	for range d.options.Concurrency {
		workers.Go(func() {
			for c := range calls {
				d.carryOut(ctx, c, time.Now())
			}
		})
	}
	d.feed(ctx, calls)
	close(calls)
	workers.Wait()
}

func (d *driver) feed(ctx context.Context, calls chan<- *call) {
	random := rand.New(rand.NewPCG(d.options.Seed, 2))
	end := time.NewTimer(d.options.Duration)
	defer end.Stop()
	for number := range d.options.Calls {
		select {
		case calls <- d.options.newCall(random, number):
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// carryOut sends a call, and again where that is safe, and records how it ended.
func (d *driver) carryOut(ctx context.Context, c *call, began time.Time) {
	done := Record{ID: c.id, Kind: c.kind}
	for {
		done.Attempts++
		firstByte, err := d.send(ctx, c, &done)
		if err == nil {
			d.record.answered(done, time.Since(began), firstByte.Sub(began))
			return
		}
		if errors.Is(err, errWrong) {
			d.record.wrong(done, err)
			return
		}
		var failure *attemptError
		if !errors.As(err, &failure) {
			failure = &attemptError{reason: err.Error()}
		}
		if !d.again(ctx, c, done, failure) {
			d.record.failed(done, failure)
			return
		}
	}
}

func (d *driver) again(ctx context.Context, c *call, done Record, failure *attemptError) bool {
	if done.Attempts > d.options.Resends {
		return false
	}
	if failure.outcome != outcome.NotRun && !c.repeatable() {
		return false
	}
	const pause = 20 * time.Millisecond
	return sleepUntil(ctx, time.Now().Add(max(failure.retryAfter, pause)))
}

// sleepUntil returns false when the context ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

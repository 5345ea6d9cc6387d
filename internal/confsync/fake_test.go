package confsync_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
)

// fakeLog is an in-memory log with injected faults.
type fakeLog struct {
	mu       sync.Mutex
	records  []infra.Record
	first    ident.Offset  // oldest offset in the log
	appended chan struct{} // closed and replaced by each append

	down            bool
	readsDown       bool
	unansweredReads int // number of next reads that get no response
	lostResponses   int // number of next appends that take effect but get no response
	lostRequests    int // number of next appends that neither take effect nor get a response
	appends         int // number of appends that took effect
	failedReads     int
	beforeAppend    func() // called once, before the next append takes effect
}

func newFakeLog() *fakeLog { return &fakeLog{first: 1, appended: make(chan struct{})} }

func (l *fakeLog) withLock(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (ident.Offset, error) {
	if hook := l.beforeAppend; hook != nil {
		l.beforeAppend = nil
		hook()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, infra.ErrUnavailable
	}
	if l.lostRequests > 0 {
		l.lostRequests--
		return 0, infra.ErrUnknown
	}
	off := ident.Offset(len(l.records) + 1)
	for _, data := range records {
		l.records = append(l.records, infra.Record{Offset: ident.Offset(len(l.records) + 1), Time: time.Now(), Data: data})
	}
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	if l.lostResponses > 0 {
		l.lostResponses--
		return 0, infra.ErrUnknown
	}
	return off, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from ident.Offset, limit int, wait time.Duration) (infra.Page, error) {
	deadline := time.After(wait)
	for {
		page, appended, unanswered, err := l.readPage(from, limit)
		if unanswered {
			<-ctx.Done()
			return infra.Page{}, ctx.Err()
		}
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-deadline:
			return page, nil
		case <-ctx.Done():
			return infra.Page{}, ctx.Err()
		}
	}
}

func (l *fakeLog) readPage(from ident.Offset, limit int) (page infra.Page, appended <-chan struct{}, unanswered bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page = infra.Page{First: l.first, Next: ident.Offset(len(l.records) + 1)}
	switch {
	case l.unansweredReads > 0:
		l.unansweredReads--
		return page, nil, true, nil
	case l.down || l.readsDown:
		l.failedReads++
		return infra.Page{}, nil, false, infra.ErrUnavailable
	case from < l.first:
		return page, nil, false, infra.ErrExpired
	}
	for off := from; off < page.Next && len(page.Records) < limit; off++ {
		page.Records = append(page.Records, l.records[off-1])
	}
	return page, l.appended, false, nil
}

// runInBubble runs a test in a synctest bubble, with a fake clock. The context ends
// with the test, and with it the stores that follow the log.
func runInBubble(t *testing.T, test func(g *WithT, ctx context.Context, log *fakeLog)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(NewWithT(t), ctx, newFakeLog())
	})
}

// startFollower returns a new store and follows the log with it until ctx ends.
func startFollower(ctx context.Context, log infra.Log, options confsync.Options) *confsync.Store {
	s := confsync.New(log, zerolog.Nop(), options)
	go s.Follow(ctx)
	return s
}

// newChange returns a change that sets the fleet's production reserve.
func newChange(id string, base ident.Offset, reserve string) config.Change {
	ops := []config.Op{{Path: "production_reserve", Value: []byte(reserve)}}
	return config.Change{ID: id, Branch: config.FleetBranch, Base: base, Ops: ops}
}

func productionReserve(s *confsync.Store) float64 { return s.Current().Tree().Fleet.ProductionReserve }

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

// fakeLog is the platform's log in memory, with faults.
type fakeLog struct {
	mu      sync.Mutex
	records []infra.Record
	first   ident.Offset
	grown   chan struct{}

	down         bool
	readsDown    bool
	silentReads  int // so many reads get no answer
	loseAnswers  int // so many appends take effect without an answer
	loseRequests int // so many appends have no effect and no answer
	appends      int // that took effect
	failedReads  int
	onAppend     func() // runs before an append takes effect
}

func newFakeLog() *fakeLog { return &fakeLog{first: 1, grown: make(chan struct{})} }

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (ident.Offset, error) {
	if hook := l.onAppend; hook != nil {
		l.onAppend = nil
		hook()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, infra.ErrUnavailable
	}
	if l.loseRequests > 0 {
		l.loseRequests--
		return 0, infra.ErrUnknown
	}
	off := ident.Offset(len(l.records) + 1)
	for _, data := range records {
		l.records = append(l.records, infra.Record{Offset: ident.Offset(len(l.records) + 1), Time: time.Now(), Data: data})
	}
	l.appends++
	close(l.grown)
	l.grown = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, infra.ErrUnknown
	}
	return off, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from ident.Offset, limit int, wait time.Duration) (infra.Page, error) {
	deadline := time.After(wait)
	for {
		page, grown, silent, err := l.look(from, limit)
		if silent {
			<-ctx.Done()
			return infra.Page{}, ctx.Err()
		}
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-deadline:
			return page, nil
		case <-ctx.Done():
			return infra.Page{}, ctx.Err()
		}
	}
}

func (l *fakeLog) look(from ident.Offset, limit int) (page infra.Page, grown <-chan struct{}, silent bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page = infra.Page{First: l.first, Next: ident.Offset(len(l.records) + 1)}
	switch {
	case l.silentReads > 0:
		l.silentReads--
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
	return page, l.grown, false, nil
}

// bubble runs a test under a fake clock. Followers end with it.
func bubble(t *testing.T, test func(g *WithT, ctx context.Context, log *fakeLog)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(NewWithT(t), ctx, newFakeLog())
	})
}

// follower returns a store that follows the log.
func follower(ctx context.Context, log infra.Log, options confsync.Options) *confsync.Store {
	s := confsync.New(log, zerolog.Nop(), options)
	go s.Follow(ctx)
	return s
}

// change sets the fleet's reserve.
func change(id string, base ident.Offset, reserve string) config.Change {
	ops := []config.Op{{Path: "production_reserve", Value: []byte(reserve)}}
	return config.Change{ID: id, Branch: config.FleetBranch, Base: base, Ops: ops}
}

func reserve(s *confsync.Store) float64 { return s.Current().Tree().Fleet.ProductionReserve }

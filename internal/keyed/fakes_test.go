package keyed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// fakeLog is one stream in memory whose calls take a moment each way.
type fakeLog struct {
	mu      sync.Mutex
	first   ident.Offset
	records []infra.Record
	changed chan struct{}
	// fault decides on an append: whether it acts, and its error.
	fault func() (acts bool, err error)
	down  bool
}

const logDelay = 2 * time.Millisecond

func newFakeLog() *fakeLog { return &fakeLog{first: 1, changed: make(chan struct{})} }

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(_ context.Context, _ string, data [][]byte) (ident.Offset, error) {
	time.Sleep(logDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	acts, err := !l.down, error(nil)
	if l.down {
		err = infra.ErrUnavailable
	} else if l.fault != nil {
		acts, err = l.fault()
	}
	offset := ident.Offset(len(l.records) + 1)
	if acts {
		for _, d := range data {
			l.records = append(l.records, infra.Record{Offset: ident.Offset(len(l.records) + 1), Data: d})
		}
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return offset, err
}

func (l *fakeLog) Read(ctx context.Context, _ string, from ident.Offset, limit int, wait time.Duration) (infra.Page, error) {
	time.Sleep(logDelay)
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		page := infra.Page{First: l.first, Next: ident.Offset(len(l.records) + 1)}
		down, changed := l.down, l.changed
		if from >= l.first {
			page.Records = append(page.Records, l.records[from-1:min(len(l.records), int(from)-1+limit)]...)
		}
		l.mu.Unlock()
		switch {
		case down:
			return infra.Page{}, infra.ErrUnavailable
		case from < page.First:
			return page, infra.ErrExpired
		case len(page.Records) > 0:
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return infra.Page{}, infra.ErrUnavailable
		}
	}
}

// slowReads holds every answer to a read back for a while.
type slowReads struct {
	*fakeLog
	delay time.Duration
}

func (l slowReads) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (infra.Page, error) {
	page, err := l.fakeLog.Read(context.WithoutCancel(ctx), stream, from, limit, wait)
	time.Sleep(l.delay)
	return page, err
}

// service stands for the upstream: it counts what ran.
type service struct {
	mu   sync.Mutex
	runs map[string]int
}

func newUpstream() *service { return &service{runs: map[string]int{}} }

func (s *service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

var errCut = errors.New("connection cut")

// run returns a RunFunc that counts, takes a while and ends with err.
func (s *service) run(key string, err error) RunFunc {
	return func(context.Context) (*upstream.ServiceResponse, error) {
		var e *upstream.Error
		if !errors.As(err, &e) || e.Outcome != outcome.NotRun {
			s.mu.Lock()
			s.runs[key]++
			s.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
		if err != nil {
			return nil, err
		}
		return &upstream.ServiceResponse{Status: 201, Header: http.Header{"X-Booking": {key}}, Body: []byte("booked " + key)}, nil
	}
}

var errNotRun = &upstream.Error{Fault: upstream.Refused, Outcome: outcome.NotRun}

// daemon is a Service with its Run; kill returns when Run has.
type daemon struct {
	*Service
	kill func()
}

// inBubble runs a scenario on fake time with n daemons on one log.
func inBubble(t *testing.T, n int, scenario func(t *testing.T, log *fakeLog, up *service, daemons []daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		var daemons []daemon
		for i := range n {
			daemons = append(daemons, startDaemon(log, fmt.Sprint("vm-", i), n))
		}
		defer func() {
			for _, d := range daemons {
				d.kill()
			}
		}()
		scenario(t, log, newUpstream(), daemons)
	})
}

func startDaemon(log infra.Log, vm string, n int) daemon {
	ctx, cancel := context.WithCancel(context.Background())
	s := New(Options{Log: log, VM: ident.VM(vm), Daemons: func() int { return n }})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	return daemon{s, func() { cancel(); <-ended }}
}

func refusal(err error) *Error {
	var e *Error
	errors.As(err, &e)
	return e
}

type upstreamResponse = upstream.ServiceResponse

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

// fakeLog is an in-memory log with one stream. Each call takes logDelay.
type fakeLog struct {
	mu      sync.Mutex
	first   ident.Offset // oldest offset that a read may ask for
	records []infra.Record
	changed chan struct{} // closed and replaced by each append
	// fault returns the result of an append: whether the records are appended, and the error.
	fault func() (appended bool, err error)
	down  bool // every call fails
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
	appended, err := !l.down, error(nil)
	if l.down {
		err = infra.ErrUnavailable
	} else if l.fault != nil {
		appended, err = l.fault()
	}
	offset := ident.Offset(len(l.records) + 1)
	if appended {
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

// slowReads delays the response to every read.
type slowReads struct {
	*fakeLog
	delay time.Duration
}

func (l slowReads) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (infra.Page, error) {
	page, err := l.fakeLog.Read(context.WithoutCancel(ctx), stream, from, limit, wait)
	time.Sleep(l.delay)
	return page, err
}

// fakeUpstream counts the requests that ran.
type fakeUpstream struct {
	mu   sync.Mutex
	runs map[string]int
}

func newFakeUpstream() *fakeUpstream { return &fakeUpstream{runs: map[string]int{}} }

func (s *fakeUpstream) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

var errConnectionLost = errors.New("connection lost")

// run returns a RunFunc that counts a run of the key unless err is errNotRun, takes 10 ms and
// returns err or a response.
func (s *fakeUpstream) run(key string, err error) RunFunc {
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

// daemon is a Service whose Run is running. kill stops it and waits until Run has returned.
type daemon struct {
	*Service
	kill func()
}

// runScenario runs a scenario on synthetic time with n daemons that share a log.
func runScenario(t *testing.T, n int, scenario func(t *testing.T, log *fakeLog, up *fakeUpstream, daemons []daemon)) {
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
		scenario(t, log, newFakeUpstream(), daemons)
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

// refusal returns the *Error in an error of Do, nil if there is none.
func refusal(err error) *Error {
	var e *Error
	errors.As(err, &e)
	return e
}

type upstreamResponse = upstream.ServiceResponse

// Package balance plays the platform's balancer in front of the daemons: it
// checks their readiness now and then and gives callers the next live one.
package balance

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// interval is the time between two rounds of checks, checkTime bounds one.
	interval  = 200 * time.Millisecond
	checkTime = 500 * time.Millisecond
)

// ErrNoDaemon says that no daemon is ready.
var ErrNoDaemon = errors.New("balance: no daemon is ready")

// Balancer picks daemons in turn. Safe for concurrent use.
type Balancer struct {
	daemons []string // base URLs
	client  *http.Client

	mu   sync.Mutex
	down map[string]bool
	next int
}

// New returns a balancer over the daemons' base URLs that takes all for ready;
// Run keeps it up to date.
func New(daemons []string) *Balancer {
	return &Balancer{
		daemons: daemons,
		down:    map[string]bool{},
		client: &http.Client{
			Timeout:   checkTime,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// Run checks the daemons until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		b.check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	var all sync.WaitGroup
	for _, daemon := range b.daemons {
		all.Go(func() { b.set(daemon, !b.ready(ctx, daemon)) })
	}
	all.Wait()
}

func (b *Balancer) ready(ctx context.Context, daemon string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, daemon+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *Balancer) set(daemon string, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[daemon] = down
}

// Failed takes a daemon out until its next good check.
func (b *Balancer) Failed(daemon string) { b.set(daemon, true) }

// Next returns the next ready daemon's base URL. Error: ErrNoDaemon.
func (b *Balancer) Next() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.daemons {
		daemon := b.daemons[b.next%len(b.daemons)]
		b.next++
		if !b.down[daemon] {
			return daemon, nil
		}
	}
	return "", ErrNoDaemon
}

// Package balance simulates the platform's load balancer in front of the daemons. It
// checks their readiness periodically and assigns callers to the ready ones in turn.
package balance

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	checkInterval = 200 * time.Millisecond // between two rounds of readiness checks
	checkTimeout  = 500 * time.Millisecond // of one check
)

// ErrNoDaemon is returned if no daemon is ready.
var ErrNoDaemon = errors.New("balance: no daemon is ready")

// Balancer picks daemons in turn. It is safe for concurrent use.
type Balancer struct {
	daemons []string // base URLs
	client  *http.Client

	mu   sync.Mutex
	down map[string]bool // by base URL
	next int             // counts up; its remainder by len(daemons) is the next index
}

// New returns a balancer for daemons, given by their base URLs. It considers all of them
// ready until Run has checked them.
func New(daemons []string) *Balancer {
	return &Balancer{
		daemons: daemons,
		down:    map[string]bool{},
		client: &http.Client{
			Timeout:   checkTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// Run checks the daemons periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.checkAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) checkAll(ctx context.Context) {
	var checks sync.WaitGroup
	for _, daemon := range b.daemons {
		checks.Go(func() { b.setDown(daemon, !b.isReady(ctx, daemon)) })
	}
	checks.Wait()
}

func (b *Balancer) isReady(ctx context.Context, daemon string) bool {
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

func (b *Balancer) setDown(daemon string, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[daemon] = down
}

// MarkDown excludes a daemon until its next successful readiness check.
func (b *Balancer) MarkDown(daemon string) { b.setDown(daemon, true) }

// Next returns the base URL of the next ready daemon, or ErrNoDaemon if there is none.
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

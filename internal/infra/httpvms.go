package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// listBytesPerSecond is what one daemon reads of the list over time. The list
// names the whole fleet: at 12,690 lines a read each two seconds would be over
// 600 KB/s. Up to some 4 KB, 40 VMs, the budget makes no difference.
const listBytesPerSecond = 2000

// HTTPVMLister is the VMLister behind the platform's HTTP interface. It is safe
// for concurrent use.
//
// A list that was read stands until the budget of bytes allows the next read.
// Daemons draw that time with jitter, so those of one data centre, which tell each
// other of upstreams that leave, together see a change much sooner than each alone.
type HTTPVMLister struct {
	client *client

	mu   sync.Mutex
	last []VMEntry
	next time.Time // no read before
}

var _ VMLister = (*HTTPVMLister)(nil)

// NewHTTPVMLister returns a VMLister at a base URL. It connects at the first call.
func NewHTTPVMLister(baseURL string, o Options) (*HTTPVMLister, error) {
	c, err := newClient(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &HTTPVMLister{client: c}, nil
}

// List returns all VMs, as the platform knew them at the last read.
func (l *HTTPVMLister) List(ctx context.Context) ([]VMEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.next) {
		return slices.Clone(l.last), nil
	}
	entries, size, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	l.last, l.next = entries, time.Now().Add(listPause(size))
	return slices.Clone(entries), nil
}

// listPause is the time that a read of so many bytes stands for, from three to
// five quarters of what the budget says.
func listPause(size int) time.Duration {
	budget := time.Duration(size) * time.Second / listBytesPerSecond
	return budget*3/4 + rand.N(budget/2+1)
}

func (l *HTTPVMLister) read(ctx context.Context) (entries []VMEntry, size int, err error) {
	const path = "/v1/vms"
	var list wire.VMList
	a, err := l.client.get(ctx, path, 0)
	if err != nil {
		return nil, 0, err
	}
	if a.status != http.StatusOK {
		return nil, 0, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, a.statusError())
	}
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, 0, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	entries = make([]VMEntry, 0, len(list.VMs))
	for _, vm := range list.VMs {
		if vm.Name == "" {
			return nil, 0, fmt.Errorf("%w: GET %s: a VM without a name", ErrUnavailable, path)
		}
		if vm.Role != wire.VMRoleEntry && vm.Role != wire.VMRoleUpstream {
			continue // a role that the platform added later
		}
		entries = append(entries, vmEntry(vm))
	}
	return entries, len(a.body), nil
}

func vmEntry(vm wire.VMEntry) VMEntry {
	return VMEntry{
		Name:        ident.VM(vm.Name),
		Entry:       vm.Role == wire.VMRoleEntry,
		DataCentre:  ident.DataCentre(vm.DataCentre),
		PeerAddress: vm.PeerAddress,
		Leaving:     vm.Leaving,
	}
}

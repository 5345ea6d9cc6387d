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

// listBytesPerSecond is the average rate at which a daemon may read the list of VMs. The list
// contains the whole fleet: with 12,690 VMs, a read every two seconds would take more than
// 600 KB/s. Up to some 4 KB, or 40 VMs, the limit makes no difference.
const listBytesPerSecond = 2000

// HTTPVMLister is a VMLister that calls the platform's HTTP API. It is safe for concurrent use.
//
// It returns the list that it read last until the limit on the rate allows the next read. The
// time of that read has jitter. The daemons of a data centre tell each other about upstreams
// that leave, so together they see a change much sooner than one daemon alone.
type HTTPVMLister struct {
	client *client

	mu       sync.Mutex
	cached   []VMEntry // list that was read last
	nextRead time.Time // earliest time of the next read
}

var _ VMLister = (*HTTPVMLister)(nil)

// NewHTTPVMLister returns a VMLister for a base URL. It connects at the first call.
func NewHTTPVMLister(baseURL string, o Options) (*HTTPVMLister, error) {
	c, err := newClient(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &HTTPVMLister{client: c}, nil
}

// List returns all VMs as of the last read.
func (l *HTTPVMLister) List(ctx context.Context) ([]VMEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.nextRead) {
		return slices.Clone(l.cached), nil
	}
	entries, size, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	l.cached, l.nextRead = entries, time.Now().Add(listInterval(size))
	return slices.Clone(entries), nil
}

// listInterval returns the time until the next read after one of size bytes: a random time
// from three to five quarters of the one that listBytesPerSecond gives.
func listInterval(size int) time.Duration {
	budget := time.Duration(size) * time.Second / listBytesPerSecond
	return budget*3/4 + rand.N(budget/2+1)
}

// read fetches the list and returns it with the size of the response in bytes.
func (l *HTTPVMLister) read(ctx context.Context) (entries []VMEntry, size int, err error) {
	const path = "/v1/vms"
	var list wire.VMList
	resp, err := l.client.get(ctx, path, 0)
	if err != nil {
		return nil, 0, err
	}
	if resp.status != http.StatusOK {
		return nil, 0, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, resp.statusError())
	}
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, 0, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	entries = make([]VMEntry, 0, len(list.VMs))
	for _, vm := range list.VMs {
		if vm.Name == "" {
			return nil, 0, fmt.Errorf("%w: GET %s: VM without a name", ErrUnavailable, path)
		}
		if vm.Role != wire.VMRoleEntry && vm.Role != wire.VMRoleUpstream {
			continue // a role that this version doesn't know
		}
		entries = append(entries, toVMEntry(vm))
	}
	return entries, len(resp.body), nil
}

func toVMEntry(vm wire.VMEntry) VMEntry {
	return VMEntry{
		Name:        ident.VM(vm.Name),
		Entry:       vm.Role == wire.VMRoleEntry,
		DataCentre:  ident.DataCentre(vm.DataCentre),
		PeerAddress: vm.PeerAddress,
		Leaving:     vm.Leaving,
	}
}

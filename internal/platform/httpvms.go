package platform

import (
	"context"
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// HTTPVMLister is the VMLister behind the platform's HTTP interface. It is safe
// for concurrent use.
type HTTPVMLister struct{ client *client }

var _ VMLister = (*HTTPVMLister)(nil)

// NewHTTPVMLister returns a VMLister at a base URL. It connects at the first call.
func NewHTTPVMLister(baseURL string, o Options) (*HTTPVMLister, error) {
	c, err := newClient(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &HTTPVMLister{c}, nil
}

// List returns all VMs, as the platform last knew them.
func (l *HTTPVMLister) List(ctx context.Context) ([]VMEntry, error) {
	const path = "/v1/vms"
	var list wire.VMList
	if err := l.client.getJSON(ctx, path, &list); err != nil {
		return nil, err
	}
	entries := make([]VMEntry, 0, len(list.VMs))
	for _, vm := range list.VMs {
		if vm.Name == "" {
			return nil, fmt.Errorf("%w: GET %s: a VM without a name", ErrUnavailable, path)
		}
		if vm.Role != wire.VMRoleEntry && vm.Role != wire.VMRoleUpstream {
			continue // a role that the platform added later
		}
		entries = append(entries, vmEntry(vm))
	}
	return entries, nil
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

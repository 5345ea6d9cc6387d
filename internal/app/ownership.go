package app

import (
	"sync/atomic"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

// ownership answers who owns a key. The configuration store and others need it
// before the peer service can be built, since that needs them in turn; until it
// is bound this daemon owns nothing.
type ownership struct {
	self  ident.VM
	peers atomic.Pointer[peer.Service]
}

func newOwnership(d *settings.Daemon) *ownership { return &ownership{self: d.VM} }

func (o *ownership) bind(p *peer.Service) { o.peers.Store(p) }

// Owner returns the owner's VM and whether it is this one.
func (o *ownership) Owner(key string) (ident.VM, bool) {
	p := o.peers.Load()
	if p == nil {
		return "", false
	}
	return p.Owner(key)
}

// Daemons counts the live daemons, this one included; Members lists it too.
func (o *ownership) Daemons() int {
	p := o.peers.Load()
	if p == nil {
		return 1
	}
	return liveMembers(p.Members())
}

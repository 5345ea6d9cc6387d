package app

import (
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
	"github.com/dogwoodflow/dogwoodflow/internal/weightsync"
)

var peerModule = fx.Module("peer", fx.Provide(newPeers))

// leavingByList names the source of what the VM list says.
const leavingByList = "vm list"

func newPeers(d *settings.Daemon, c *confsync.Store, disp *dispatch.Dispatcher, w *weightsync.Syncer,
	r *timeline.Recorder, vms infra.VMLister, log zerolog.Logger, o *ownership) *peer.Service {
	p := peer.New(peer.Options{
		Self: d.VM, DataCentre: d.DataCentre,
		ListenAddress: d.PeerAddress, AdvertiseAddress: d.PeerAdvertise,
		Token: string(d.PeerToken), Seeds: d.PeerSeeds,
		Digests: disp, Copies: disp, Config: c, Timeline: r, Versions: versionPort{w}, VMs: vms,
		Identity:          peerIdentity(d),
		OnLeavingUpstream: func(u ident.Upstream) { disp.SetLeaving(u, leavingByList) },
		Log:               log,
	})
	disp.SetCopyPlacer(p)
	o.bind(p)
	return p
}

// versionPort lets peers tell each other the newest published versions.
type versionPort struct{ syncer *weightsync.Syncer }

func (v versionPort) Published() map[ident.Model]ident.Version { return v.syncer.Newest() }

func (v versionPort) Learn(m ident.Model, version ident.Version) { v.syncer.OfferNewest(m, version) }

// peerIdentity returns nil when no certificate was given.
func peerIdentity(d *settings.Daemon) *peer.Identity {
	if d.PeerIdentity == nil {
		return nil
	}
	return &peer.Identity{Certificate: d.PeerIdentity.Certificate, Authorities: d.PeerIdentity.Authorities}
}

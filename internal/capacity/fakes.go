package capacity

import (
	"fmt"
	"net"
	"net/http"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/log"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/vmlist"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/weights"
)

// Ports by their distance from the port base, as in scripts/lib.sh.
const (
	portLog      = 1
	portWeights  = 2
	portVMs      = 3
	portOwn      = 4 // the log again, for this process's own appends
	portCaller   = 104
	portTrainer  = 105
	portAdmin    = 106
	portPeer     = 107
	portUpstream = 300
)

// World is all that stands around the daemon.
type World struct {
	options Options
	meters  *Meters
	log     *log.Log
	vms     *vmlist.List
	servers []*http.Server
	peers   *peers
	ownLog  *infra.HTTPLog
	bases   map[config.Branch]ident.Offset
}

// Options say where the daemon is.
type Options struct {
	PortBase   int
	PID        int
	AdminToken string
	PeerToken  string
}

func (o Options) url(port int) string { return "http://" + o.address(port) }

func (o Options) address(port int) string { return fmt.Sprintf("127.0.0.1:%d", o.PortBase+port) }

// NewWorld starts the platform's fakes.
func NewWorld(o Options) (*World, error) {
	w := &World{options: o, meters: newMeters(), bases: map[config.Branch]ident.Offset{}}
	w.log = log.New(log.Options{})
	w.vms = vmlist.New(vmlist.Options{})
	store := weights.New(weights.Options{Models: map[string][]int64{model: {1}}})
	for _, each := range []struct {
		port  int
		meter string
		h     http.Handler
	}{{portLog, meterLog, w.log}, {portOwn, meterOwn, w.log}, {portWeights, meterWeights, store}, {portVMs, meterVMs, w.vms}} {
		if err := w.serve(each.port, each.h, always(w.meters.of(each.meter))); err != nil {
			w.Close()
			return nil, err
		}
	}
	var err error
	w.ownLog, err = infra.NewHTTPLog(o.url(portOwn), infra.Options{})
	return w, err
}

func always(m *Meter) func(*http.Request) *Meter { return func(*http.Request) *Meter { return m } }

func (w *World) serve(port int, h http.Handler, pick func(*http.Request) *Meter) error {
	l, err := net.Listen("tcp", w.options.address(port))
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	w.servers = append(w.servers, serveMetered(l, h, pick))
	return nil
}

// Close ends all fakes.
func (w *World) Close() {
	if w.peers != nil {
		w.peers.stop()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// Package vmlist simulates the platform's list of VMs, which shows changes only after a lag.
package vmlist

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Options configure a list.
type Options struct {
	// VMs is the initial list, which is visible immediately.
	VMs []wire.VMEntry
	// Lag is the time after which a change becomes visible.
	Lag    time.Duration
	Faults *fault.Injector
}

// List is a simulated list of VMs. It is an http.Handler.
type List struct {
	options Options
	handler http.Handler

	mu      sync.Mutex
	history []snapshot // oldest first; the first one is visible
}

// snapshot is the list as it is from some time on.
type snapshot struct {
	visibleFrom time.Time
	vms         []wire.VMEntry
}

// New returns a list with the initial VMs.
func New(options Options) *List {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	l := &List{options: options, history: []snapshot{{vms: options.VMs}}}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/vms", l.serveGet).Methods(http.MethodGet)
	routes.HandleFunc("/v1/vms", l.servePut).Methods(http.MethodPut)
	routes.HandleFunc("/v1/vms/{name}/leaving", l.serveLeaving).Methods(http.MethodPost)
	l.handler = routes
	return l
}

// Faults returns the list's fault injector.
func (l *List) Faults() *fault.Injector { return l.options.Faults }

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// Set replaces the list. The change becomes visible after the lag.
func (l *List) Set(vms []wire.VMEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendSnapshotLocked(vms)
}

// appendSnapshotLocked adds a list that becomes visible after the lag. The caller holds the
// lock.
func (l *List) appendSnapshotLocked(vms []wire.VMEntry) {
	l.history = append(l.history, snapshot{visibleFrom: time.Now().Add(l.options.Lag), vms: vms})
}

// SetLeaving marks a VM as leaving. The change becomes visible after the lag.
func (l *List) SetLeaving(name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.history[len(l.history)-1].vms
	vms := append([]wire.VMEntry(nil), newest...)
	for i := range vms {
		if vms[i].Name == name {
			vms[i].Leaving = true
			l.appendSnapshotLocked(vms)
			return nil
		}
	}
	return fmt.Errorf("no VM %q", name)
}

// visible returns the newest list that is visible by now.
func (l *List) visible() []wire.VMEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.history) > 1 && !l.history[1].visibleFrom.After(now) {
		l.history = l.history[1:]
	}
	return append([]wire.VMEntry{}, l.history[0].vms...)
}

func (l *List) serveGet(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, wire.VMList{VMs: l.visible()})
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var body wire.VMList
	if !host.ReadJSON(w, r, &body) {
		return
	}
	l.Set(body.VMs)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveLeaving(w http.ResponseWriter, r *http.Request) {
	if err := l.SetLeaving(mux.Vars(r)["name"]); err != nil {
		host.WriteError(w, http.StatusNotFound, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

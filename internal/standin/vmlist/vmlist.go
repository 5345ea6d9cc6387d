// Package vmlist is the stand-in for the platform's lagging list of VMs.
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

// Options describe the list.
type Options struct {
	// VMs is the list at the start.
	VMs []wire.VMEntry
	// Lag is how late a change shows.
	Lag    time.Duration
	Faults *fault.Injector
}

// List is a stand-in list of VMs. It is an http.Handler.
type List struct {
	options Options
	handler http.Handler

	mu      sync.Mutex
	history []version // oldest first; the first one shows already
}

type version struct {
	shows time.Time
	vms   []wire.VMEntry
}

// New returns a list.
func New(options Options) *List {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	l := &List{options: options, history: []version{{vms: options.VMs}}}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/vms", l.serveGet).Methods(http.MethodGet)
	routes.HandleFunc("/v1/vms", l.servePut).Methods(http.MethodPut)
	routes.HandleFunc("/v1/vms/{name}/leaving", l.serveLeaving).Methods(http.MethodPost)
	l.handler = routes
	return l
}

// Faults returns the list's faults.
func (l *List) Faults() *fault.Injector { return l.options.Faults }

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// Set replaces the list; that shows after the lag.
func (l *List) Set(vms []wire.VMEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(vms)
}

func (l *List) set(vms []wire.VMEntry) {
	l.history = append(l.history, version{shows: time.Now().Add(l.options.Lag), vms: vms})
}

// SetLeaving marks a VM as leaving; that shows after the lag.
func (l *List) SetLeaving(name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.history[len(l.history)-1].vms
	vms := append([]wire.VMEntry(nil), newest...)
	for i := range vms {
		if vms[i].Name == name {
			vms[i].Leaving = true
			l.set(vms)
			return nil
		}
	}
	return fmt.Errorf("no VM %q", name)
}

// shown returns the list as it shows now.
func (l *List) shown() []wire.VMEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.history) > 1 && !l.history[1].shows.After(now) {
		l.history = l.history[1:]
	}
	return append([]wire.VMEntry{}, l.history[0].vms...)
}

func (l *List) serveGet(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, wire.VMList{VMs: l.shown()})
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

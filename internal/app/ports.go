package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

// Limits of the HTTP ports, which bound what a slow or idle client costs.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// port is one HTTP listener.
type port struct {
	name     string
	address  string
	server   *http.Server
	listener net.Listener
	inFlight atomic.Int64
}

func newPort(name, address string, h http.Handler) *port {
	p := &port{name: name, address: address}
	p.server = &http.Server{
		Handler:           p.counted(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return p
}

func newPorts(d *settings.Daemon, api *httpapi.API) *Ports {
	return &Ports{list: []*port{
		newPort("caller", d.CallerAddress, api.CallerHandler()),
		newPort("trainer", d.TrainerAddress, api.TrainerHandler()),
		newPort("admin", d.AdminAddress, api.AdminHandler()),
	}}
}

func (p *port) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.inFlight.Add(1)
		defer p.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (p *port) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("open the %s port: %w", p.name, err)
	}
	p.listener = l
	return nil
}

func (p *port) serve() {
	_ = p.server.Serve(p.listener) // ends with ErrServerClosed
}

// openAll opens every port or none.
func openAll(ports []*port) error {
	for i, p := range ports {
		if err := p.listen(); err != nil {
			closeListeners(ports[:i])
			return err
		}
	}
	return nil
}

func closeListeners(ports []*port) {
	for _, p := range ports {
		_ = p.listener.Close()
	}
}

// shutdownAll closes the ports to new connections and waits until what is in
// flight has ended whole.
func shutdownAll(ctx context.Context, ports []*port) error {
	errs := make([]error, len(ports))
	var wg sync.WaitGroup
	for i, p := range ports {
		wg.Go(func() { errs[i] = p.server.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

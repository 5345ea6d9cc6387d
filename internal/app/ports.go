package app

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
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
	lastOnes atomic.Bool // each answer ends its connection
}

func newPort(name, address string, h http.Handler, d *settings.Daemon, logger zerolog.Logger) *port {
	p := &port{name: name, address: address}
	p.server = &http.Server{
		Handler:           p.counted(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         d.TLS(),
		ErrorLog:          log.New(serverErrors{logger, name}, "", 0),
	}
	return p
}

func newPorts(d *settings.Daemon, api *httpapi.API, logger zerolog.Logger) *Ports {
	return &Ports{list: []*port{
		newPort("caller", d.CallerAddress, api.CallerHandler(), d, logger),
		newPort("trainer", d.TrainerAddress, api.TrainerHandler(), d, logger),
		newPort("admin", d.AdminAddress, api.AdminHandler(), d, logger),
	}}
}

// serverErrors takes the lines of net/http's server. All but a handler's panic
// are a single client's fault (a failed handshake, a bad frame) and only counted.
type serverErrors struct {
	logger zerolog.Logger
	port   string
}

var serverErrorCount = metrics.Counter("http_server_errors")

// Write implements io.Writer.
func (e serverErrors) Write(line []byte) (int, error) {
	serverErrorCount.Add(1)
	event := e.logger.Debug()
	if bytes.HasPrefix(line, []byte("http: panic")) {
		event = e.logger.Error()
	}
	event.Str("port", e.port).Bytes("line", bytes.TrimSpace(line)).Msg("HTTP server error")
	return len(line), nil
}

func (p *port) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.inFlight.Add(1)
		defer p.inFlight.Add(-1)
		if p.lastOnes.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// endConnections lets each connection end with its next answer. Idle ones stay
// open until the port closes: http.Server.SetKeepAlivesEnabled(false) would close
// them at once, and a request on its way there would be cut before its caller
// could know that the daemon is stopping.
func (p *port) endConnections() { p.lastOnes.Store(true) }

func (p *port) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("open the %s port: %w", p.name, err)
	}
	p.listener = l
	return nil
}

func (p *port) serve() {
	// Both end with ErrServerClosed.
	if p.server.TLSConfig != nil {
		_ = p.server.ServeTLS(p.listener, "", "")
		return
	}
	_ = p.server.Serve(p.listener)
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

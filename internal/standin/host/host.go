// Package host contains what all stand-ins share: an HTTP server on loopback with fault
// injection, JSON requests and responses, a rate limiter, and the state of an upstream that
// is leaving.
package host

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
)

// Server is the HTTP server of one stand-in.
type Server struct {
	// Address is the ip:port that the server listens on, URL the same as a base URL.
	Address, URL string

	server    *http.Server
	faults    *fault.Injector
	serveDone chan struct{} // closed when the listener has ended
}

// Start serves handler on a loopback address; port 0 picks a free port. A Crash fault
// closes the server, unless the injector's OnCrash is called again afterwards.
func Start(address string, handler http.Handler, faults *fault.Injector) (*Server, error) {
	tcpListener, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Address:   tcpListener.Addr().String(),
		URL:       "http://" + tcpListener.Addr().String(),
		faults:    faults,
		serveDone: make(chan struct{}),
		server: &http.Server{
			Handler:           faults.WrapHandler(handler),
			ConnContext:       fault.ConnContext,
			ReadHeaderTimeout: 10 * time.Second,
		},
	}
	faults.OnCrash(s.Close)
	go func() {
		defer close(s.serveDone)
		_ = s.server.Serve(faults.WrapListener(tcpListener))
	}()
	return s, nil
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	_ = s.server.Close()
	s.faults.CloseConns()
	<-s.serveDone
}

// listen refuses addresses that aren't loopback IP addresses.
func listen(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: address %q: %w", address, err)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("stand-in: address %q: not a loopback IP address", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return l, nil
}

// WriteJSON responds with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ReadJSON decodes a request's JSON body. If that fails, it responds with 400 and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		WriteError(w, http.StatusBadRequest, fmt.Errorf("decoding the request body: %w", err))
		return false
	}
	return true
}

// WriteError responds with a status and {"error": "..."}.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, map[string]string{"error": err.Error()})
}

// ErrRateLimited is the error of a request over the rate limit.
var ErrRateLimited = errors.New("rate limit exceeded")

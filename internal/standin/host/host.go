// Package host is what all stand-ins share: serving on loopback with faults,
// JSON answers, and the state of an upstream that is leaving.
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

// Server serves one stand-in.
type Server struct {
	// Address is the ip:port that it listens on, URL the same with a scheme.
	Address, URL string

	server   *http.Server
	faults   *fault.Injector
	finished chan struct{}
}

// Start serves handler on a loopback address; port 0 picks a free one. A crash
// fault closes the server, unless OnCrash is set to something else afterwards.
func Start(address string, handler http.Handler, faults *fault.Injector) (*Server, error) {
	plain, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Address:  plain.Addr().String(),
		URL:      "http://" + plain.Addr().String(),
		faults:   faults,
		finished: make(chan struct{}),
		server: &http.Server{
			Handler:           faults.Wrap(handler),
			ConnContext:       fault.ConnContext,
			ReadHeaderTimeout: 10 * time.Second,
		},
	}
	faults.OnCrash(s.Close)
	go func() {
		defer close(s.finished)
		_ = s.server.Serve(faults.Listener(plain))
	}()
	return s, nil
}

// Close ends the listener and every connection at once.
func (s *Server) Close() {
	_ = s.server.Close()
	s.faults.CloseAll()
	<-s.finished
}

func listen(address string) (net.Listener, error) {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: address %q: %w", address, err)
	}
	ip := net.ParseIP(name)
	if ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("stand-in: address %q: want a loopback IP number", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return l, nil
}

// WriteJSON answers with a status and a JSON body.
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

// ReadJSON decodes a request's body; on failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		WriteError(w, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return false
	}
	return true
}

// WriteError answers with a status and {"error": "..."}.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, map[string]string{"error": err.Error()})
}

// ErrTooFast is the error of a request above a rate limit.
var ErrTooFast = errors.New("rate limit")

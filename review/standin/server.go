//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// server is one server of the platform. It speaks HTTP/1.1 on raw connections, so that a case can
// write an extra answer on a channel, or end like a process that crashes.
type server struct {
	w       *world
	service string
	zone    string
	slots   int
	models  map[string]int64
	handle  func(c *channel, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	beats    int
	orders   int64
	down     bool
}

// channel is a connection to a server.
type channel struct {
	s  *server
	id string // of the server's process that accepted it
	c  net.Conn
	w  *bufio.Writer
	// late is an extra answer, which is sent where the next answer is expected.
	late []byte
}

func (w *world) startServer(service string, slots int, models map[string]int64, handle func(*server) func(*channel, *http.Request, []byte)) (*server, error) {
	s := &server{w: w, service: service, zone: "semarang", slots: slots, models: models, conns: map[net.Conn]bool{}}
	s.handle = handle(s)
	if err := s.boot("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.servers = append(w.servers, s)
	go s.heartbeats()
	return s, nil
}

// boot starts a process of the server under a new ID.
func (s *server) boot(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.address, s.listener, s.running, s.orders, s.down = fmt.Sprintf("i-%08x", rand.Uint32()), l.Addr().String(), l, 0, 0, false
	id := s.id
	s.mu.Unlock()
	s.w.record.add("server %s of %s starts at %s", id, s.service, l.Addr())
	s.register()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, id)
		}
	}()
	return nil
}

// crash ends the server's process and all its connections. It starts again at the same address
// with another ID after the time down. Its entry expires after three pings.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	old, address := s.id, s.address
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	s.w.record.add("server %s of %s crashes", old, s.service)
	time.AfterFunc(3*heartbeat, func() { _ = s.w.store.Put("keyed.servers", old, nil) })
	time.AfterFunc(down, func() {
		if err := s.boot(address); err != nil {
			s.w.record.add("server at %s did not start: %v", address, err)
		}
	})
}

func (s *server) heartbeats() {
	for {
		time.Sleep(heartbeat)
		s.register()
	}
}

func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.beats++
	_ = s.w.store.Put("keyed.servers", s.id, encode(map[string]any{ // the store of the case is in memory
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.beats, "stage": "both", "models": s.modelList(),
	}))
}

func (s *server) modelList() []map[string]any {
	out := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		out = append(out, map[string]any{"name": name, "version": s.models[name], "adapters": []string{}})
	}
	return out
}

// serve answers the requests of one connection in turn.
func (s *server) serve(c net.Conn, id string) {
	s.mu.Lock()
	if s.id != id || s.down {
		s.mu.Unlock()
		_ = c.Close()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	ch := &channel{s: s, id: id, c: c, w: bufio.NewWriter(c)}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if ch.late != nil {
			s.w.record.add("server %s sends a late extra answer where that to %s is expected", id, r.Header.Get("X-Dogwoodflow-Attempt-Id"))
			if _, err := c.Write(ch.late); err != nil {
				return
			}
			ch.late = nil
		}
		if want := r.Header.Get("X-Dogwoodflow-Expect-Instance"); want != "" && want != id {
			ch.answer(r, http.StatusMisdirectedRequest, nil, nil)
			continue
		}
		s.handle(ch, r, body)
		if r.Close {
			return
		}
	}
}

// head returns the bytes of an answer's header with the usual fields.
func (c *channel) head(r *http.Request, status int, header map[string]string) []byte {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Dogwoodflow-Attempt-Id: %s\r\nX-Dogwoodflow-Instance-Id: %s\r\n", status, http.StatusText(status), r.Header.Get("X-Dogwoodflow-Attempt-Id"), c.id)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		out += name + ": " + header[name] + "\r\n"
	}
	return []byte(out)
}

// answer writes a whole answer and returns its bytes.
func (c *channel) answer(r *http.Request, status int, header map[string]string, body []byte) []byte {
	out := c.head(r, status, header)
	out = append(out, fmt.Sprintf("Content-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n", len(body))...)
	out = append(out, body...)
	_, _ = c.c.Write(out) // a caller that left shows at the next read
	return out
}

// take reserves a place for a run, false if the server is full.
func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// load is the load header's value.
func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}

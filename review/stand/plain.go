//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// plain is a server of a plain service.
type plain struct {
	w       *world
	name    string
	id      string
	service string
	address string
	born    int64

	mu       sync.Mutex
	requests []string // method, path and ID of those that ran
}

const (
	plainSlots = 6
	plainWork  = 25 * time.Millisecond
)

// addPlain starts a server of a plain service and its entries in the store.
func (w *world) addPlain(service string) (*plain, error) {
	l, err := listen(w.ip)
	if err != nil {
		return nil, err
	}
	p := &plain{w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, address: l.Addr().String(), born: time.Now().UnixMilli()}
	p.name = service + " " + p.id
	go func() { _ = http.Serve(l, p) }() // until the process ends
	go func() {
		for n := 0; w.ctx.Err() == nil; n++ {
			_ = w.store.Put(serversTopic, p.id, encode(map[string]any{"service": service, "address": p.address, "zone": "semarang", "version": "v1", "slots": plainSlots, "state": "ready",
				"cold_remaining_ms": 0, "sequence": n, "born": p.born}))
			time.Sleep(heartbeat)
		}
	}()
	return p, nil
}

// ServeHTTP answers any request with bytes that name it.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Dogwoodflow-Instance-Id", p.id)
	id := r.Header.Get("X-Dogwoodflow-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Dogwoodflow-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Dogwoodflow-Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return // its sender left
	}
	p.mu.Lock()
	p.requests = append(p.requests, r.Method+" "+r.RequestURI)
	p.mu.Unlock()
	p.w.note("%s runs %s %s, ID %s", p.name, r.Method, r.RequestURI, id)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(plainWork):
	}
	w.Header().Set("X-Dogwoodflow-Server-Stamp", stamp)
	fmt.Fprintf(w, "%s answers %s %s", p.service, r.Method, r.RequestURI)
}

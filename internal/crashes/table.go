// Package crashes keeps requests away from upstreams that they would crash. It counts, over
// all daemons, the upstreams that crashed while they ran a request. A request with too many
// crashes is no longer sent, by any daemon.
package crashes

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

const (
	// blockAfterCrashes is the number of crashed upstreams after which a request is no
	// longer sent. Two crashes can be a coincidence, when several upstreams of a service
	// go down; a third one, each under a copy of the same request, is unlikely to be.
	blockAfterCrashes = 3
	// crashTTL is how long a crash counts. A caller that repeats a request does so
	// within minutes.
	crashTTL = 10 * time.Minute
)

// crash says that an upstream crashed while it ran a request. Each crash has a record of
// its own in the store, so that daemons that see different crashes at the same time don't
// overwrite each other's records.
type crash struct {
	request  poison.Fingerprint
	upstream string // incarnation that crashed
}

// key returns the key of the crash's record.
func (c crash) key() string { return fmt.Sprintf("%016x/%s", uint64(c.request), c.upstream) }

// parseKey is the inverse of key.
func parseKey(key string) (crash, error) {
	request, upstream, ok := strings.Cut(key, "/")
	digits, err := hex.DecodeString(request)
	if err != nil || !ok || len(digits) != 8 || upstream == "" {
		return crash{}, fmt.Errorf("malformed crash key %q", key)
	}
	var fingerprint uint64
	for _, b := range digits {
		fingerprint = fingerprint<<8 | uint64(b)
	}
	return crash{poison.Fingerprint(fingerprint), upstream}, nil
}

// crashRecord is the value of a crash's record.
type crashRecord struct {
	VM string `json:"vm"` // that saw the crash
}

func (r crashRecord) encode() ([]byte, error) { return json.Marshal(r) }

// Table holds the crashes by request. It does no I/O and has no lock or clock; the caller
// passes the time in.
//
// Invariant: the crashes of a request are of different incarnations, so that a crash that
// several daemons see, or one daemon through several copies of the request, counts once.
type Table struct {
	crashes map[poison.Fingerprint]map[string]time.Duration // incarnation -> when this daemon learned of the crash
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{crashes: map[poison.Fingerprint]map[string]time.Duration{}} }

// Blocked reports whether a request has crashed too many upstreams to be sent.
func (t *Table) Blocked(request poison.Fingerprint, now time.Duration) bool {
	return t.count(request, now) >= blockAfterCrashes
}

// RetryDelay returns how long a request that is sent however often it crashes upstreams must
// wait: a blocked one is sent once in CrasherPause.
func (t *Table) RetryDelay(request poison.Fingerprint, now time.Duration) time.Duration {
	if !t.Blocked(request, now) {
		return 0
	}
	var last time.Duration
	for _, at := range t.crashes[request] {
		last = max(last, at)
	}
	return max(0, last+CrasherPause-now)
}

// count returns how many crashes of a request haven't expired.
func (t *Table) count(request poison.Fingerprint, now time.Duration) int {
	n := 0
	for _, at := range t.crashes[request] {
		if now-at < crashTTL {
			n++
		}
	}
	return n
}

// add adds a crash. One that is known already keeps its time.
func (t *Table) add(c crash, now time.Duration) {
	if t.crashes[c.request] == nil {
		t.crashes[c.request] = map[string]time.Duration{}
	}
	if _, known := t.crashes[c.request][c.upstream]; !known {
		t.crashes[c.request][c.upstream] = now
	}
}

func (t *Table) remove(c crash) {
	delete(t.crashes[c.request], c.upstream)
	if len(t.crashes[c.request]) == 0 {
		delete(t.crashes, c.request)
	}
}

// crashesOf returns the crashes of a request, expired ones included.
func (t *Table) crashesOf(request poison.Fingerprint) []crash {
	var out []crash
	for upstream := range t.crashes[request] {
		out = append(out, crash{request, upstream})
	}
	return out
}

// expired returns the crashes that no longer count.
func (t *Table) expired(now time.Duration) []crash {
	var out []crash
	for request, upstreams := range t.crashes {
		for upstream, at := range upstreams {
			if now-at >= crashTTL {
				out = append(out, crash{request, upstream})
			}
		}
	}
	return out
}

// Package crashes keeps requests away from upstreams that they would crash. A
// request that was at work on an upstream when it crashed is marked; one with too many
// crashes isn't sent any more, by any daemon.
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
	// limit is after how many crashed upstreams a request isn't sent any more. Two can
	// be one request's bad luck while several upstreams of a service go down; a third,
	// each under a copy of the same request, hardly.
	limit = 3
	// markLife is how long a crash counts. A caller that repeats a request does so
	// within minutes.
	markLife = 10 * time.Minute
)

// mark says that an upstream crashed while it ran a request. It is a record of its
// own, so that daemons that see different crashes at once don't overwrite each other.
type mark struct {
	request  poison.Fingerprint
	upstream string // incarnation that crashed
}

func (m mark) key() string { return fmt.Sprintf("%016x/%s", uint64(m.request), m.upstream) }

// parseMark reverses key.
func parseMark(key string) (mark, error) {
	request, upstream, ok := strings.Cut(key, "/")
	raw, err := hex.DecodeString(request)
	if err != nil || !ok || len(raw) != 8 || upstream == "" {
		return mark{}, fmt.Errorf("malformed key %q", key)
	}
	var n uint64
	for _, b := range raw {
		n = n<<8 | uint64(b)
	}
	return mark{poison.Fingerprint(n), upstream}, nil
}

// value is what a mark's record holds.
type value struct {
	VM string `json:"vm"` // that saw the crash
}

func (v value) encode() ([]byte, error) { return json.Marshal(v) }

// Ledger is the set of marks. It does no I/O and has no lock or clock; time is
// passed in.
//
// Invariant: a request's marks name different incarnations, so that one crash seen
// by several daemons, or through several copies, counts once.
type Ledger struct {
	marks map[poison.Fingerprint]map[string]time.Duration // upstream -> when it was noted
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{marks: map[poison.Fingerprint]map[string]time.Duration{}} }

// Blocked reports whether a request has crashed too many upstreams to be sent.
func (l *Ledger) Blocked(request poison.Fingerprint, now time.Duration) bool {
	return l.count(request, now) >= limit
}

func (l *Ledger) count(request poison.Fingerprint, now time.Duration) int {
	n := 0
	for _, at := range l.marks[request] {
		if now-at < markLife {
			n++
		}
	}
	return n
}

func (l *Ledger) add(m mark, now time.Duration) {
	if l.marks[m.request] == nil {
		l.marks[m.request] = map[string]time.Duration{}
	}
	if _, known := l.marks[m.request][m.upstream]; !known {
		l.marks[m.request][m.upstream] = now
	}
}

func (l *Ledger) remove(m mark) {
	delete(l.marks[m.request], m.upstream)
	if len(l.marks[m.request]) == 0 {
		delete(l.marks, m.request)
	}
}

// of returns the marks of a request.
func (l *Ledger) of(request poison.Fingerprint) []mark {
	var out []mark
	for upstream := range l.marks[request] {
		out = append(out, mark{request, upstream})
	}
	return out
}

// expired returns the marks that don't count any more.
func (l *Ledger) expired(now time.Duration) []mark {
	var out []mark
	for request, upstreams := range l.marks {
		for upstream, at := range upstreams {
			if now-at >= markLife {
				out = append(out, mark{request, upstream})
			}
		}
	}
	return out
}

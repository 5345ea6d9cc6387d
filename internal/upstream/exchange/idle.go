package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// advertisedFraction is the part of a server's advertised idle timeout for which idle
	// connections are kept. The rest covers the network delay of the server's close and
	// the difference between the clocks.
	advertisedFraction = 0.8
	// overloadDuration is how long a server that reset a new connection counts as
	// overloaded, which shortens the idle time of connections to it. A server accepts a
	// limited number of connections from all VMs together, and no VM knows how many the
	// others hold.
	overloadDuration = 10 * time.Second
)

// idleLimits determines for how long idle connections are kept, based on the Keep-Alive
// headers of servers. It reads no clock and does no I/O: times are passed in as durations
// since a fixed point. It is safe for concurrent use.
type idleLimits struct {
	defaultLimit time.Duration // for servers that advertise no idle timeout and for overloaded ones
	maxLimit     time.Duration // upper bound for advertised idle timeouts, 0: these are ignored

	mu               sync.Mutex
	advertisedLimits map[string]time.Duration // limit derived from the advertised idle timeout, by address
	overloadedUntil  map[string]time.Duration // end of the overload, by address
}

func newIdleLimits(o Options) *idleLimits {
	return &idleLimits{defaultLimit: o.IdleTimeout, maxLimit: o.MaxIdleTimeout, advertisedLimits: map[string]time.Duration{}, overloadedUntil: map[string]time.Duration{}}
}

// recordResponse records the idle timeout in a response header, or that there is none.
func (l *idleLimits) recordResponse(address string, header http.Header) {
	if l.maxLimit == 0 {
		return
	}
	advertised := keepAliveTimeout(header)
	l.mu.Lock()
	defer l.mu.Unlock()
	if advertised == 0 {
		delete(l.advertisedLimits, address)
		return
	}
	l.advertisedLimits[address] = min(l.maxLimit, time.Duration(advertisedFraction*float64(advertised)))
}

// recordReset records that a server reset a new connection.
func (l *idleLimits) recordReset(address string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloadedUntil[address] = now + overloadDuration
}

// limit returns how long a connection to an address that becomes idle now may be kept.
func (l *idleLimits) limit(address string, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	advertised, ok := l.advertisedLimits[address]
	if until := l.overloadedUntil[address]; !ok || now < until {
		return l.defaultLimit
	}
	delete(l.overloadedUntil, address)
	return advertised
}

// maxAdvertisedSeconds bounds advertised timeouts. Those above 292 years don't fit in a time.Duration.
const maxAdvertisedSeconds = 24 * 60 * 60

// keepAliveTimeout returns the idle timeout in a Keep-Alive header, 0 for none.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(min(seconds, maxAdvertisedSeconds)) * time.Second
		}
	}
	return 0
}

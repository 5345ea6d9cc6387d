package weights

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// intervalWeight is the newest interval's share in the estimate.
const intervalWeight = 0.3

// Interval estimates the time between publications. The zero value is ready.
type Interval struct {
	newest ident.Version
	at     time.Time
	mean   time.Duration
}

// Observe notes the newest published version. The first one seen gives no
// interval: it may have been published long ago.
func (i *Interval) Observe(v ident.Version, now time.Time) {
	if v <= i.newest {
		return
	}
	if i.newest != 0 {
		i.add(now.Sub(i.at) / time.Duration(v-i.newest))
	}
	i.newest = v
	i.at = now
}

func (i *Interval) add(d time.Duration) {
	if i.mean == 0 {
		i.mean = d
		return
	}
	i.mean = time.Duration(intervalWeight*float64(d) + (1-intervalWeight)*float64(i.mean))
}

// Estimate returns the mean interval, 0 when unknown.
func (i *Interval) Estimate() time.Duration { return i.mean }

package weights

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// newIntervalWeight is the weight of the newest interval in the estimate.
const newIntervalWeight = 0.3

// IntervalEstimator estimates the time between publications as a moving mean. The zero value
// is ready to use.
type IntervalEstimator struct {
	newest       ident.Version
	newestSeenAt time.Time
	mean         time.Duration
}

// Observe records the newest published version. The first version observed gives no
// interval, since it may have been published long before.
func (i *IntervalEstimator) Observe(v ident.Version, now time.Time) {
	if v <= i.newest {
		return
	}
	if i.newest != 0 {
		i.add(now.Sub(i.newestSeenAt) / time.Duration(v-i.newest))
	}
	i.newest = v
	i.newestSeenAt = now
}

func (i *IntervalEstimator) add(d time.Duration) {
	if i.mean == 0 {
		i.mean = d
		return
	}
	i.mean = time.Duration(newIntervalWeight*float64(d) + (1-newIntervalWeight)*float64(i.mean))
}

// Estimate returns the mean interval, 0 if it is unknown.
func (i *IntervalEstimator) Estimate() time.Duration { return i.mean }

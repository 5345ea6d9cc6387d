package follow

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// throttleFactor is the pause of a low-priority view after a read, as a multiple of the time that
// the read took. The more daemons read at once the longer their reads take, so together they
// leave all but a small part of the shared rate to others.
const throttleFactor = 20

// throttlePause returns the pause of a low-priority view that lacks records.
//
// It is throttleFactor reads long, unless its lag is bounded. Then the records take effect late by the
// pause, so it is at most what is left of maxLag: the view has lacked records for behindFor, and the
// next read takes about as long as the last one.
func throttlePause(bounded bool, readTime, behindFor, maxLag time.Duration) time.Duration {
	full := throttleFactor * readTime
	if !bounded {
		return full
	}
	return max(0, min(full, maxLag-behindFor-2*readTime))
}

// recordStats are moving averages over the records of a keyed topic that were read. Records of a topic
// differ much in size, and a page may hold a single one.
type recordStats struct {
	mean            float64 // bytes of a record
	supersedingPart float64 // of the bytes, in records of keys that were known before
	known           bool
}

// recordStatsWeight is the weight of a page in the averages.
const recordStatsWeight = 0.25

// add takes a page's records into account, of which so many bytes were of known keys.
func (s *recordStats) add(page store.Page, superseding int) {
	bytes := page.Bytes()
	if bytes == 0 {
		return
	}
	mean, part := float64(bytes)/float64(len(page.Records)), float64(superseding)/float64(bytes)
	if !s.known {
		s.mean, s.known = mean, true
	}
	s.mean += recordStatsWeight * (mean - s.mean)
	s.supersedingPart += recordStatsWeight * (part - s.supersedingPart)
}

// newestOverhead is the size of a record in a page of newest records relative to its size in the
// log: the platform's store returns values in base64.
const newestOverhead = 4.0 / 3

// backlog describes what a loaded view of a keyed topic lacks.
type backlog struct {
	records     int64       // number of records
	stats       recordStats // by the records before
	newestBytes int         // size of the newest records of all keys that the view has
}

// rescan reports whether to read the newest record of each key in place of the missing records.
// It takes fewer bytes when most of these are superseded, and its size doesn't grow with their
// number: a view that reads every superseded record falls behind without bound once they are
// written faster than it can read them. Records of new keys don't supersede any, and a scan would
// read them too.
func (b backlog) rescan() bool {
	missing := float64(b.records) * b.stats.mean
	added := missing * (1 - b.stats.supersedingPart)
	return missing > newestOverhead*(float64(b.newestBytes)+added)
}

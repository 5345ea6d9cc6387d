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
// A view that isn't in use answers nobody, and is throttled in full. The records of one in use take
// effect late by the pause, so it is at most what is left of maxLag: the view has lacked records for
// behindFor, and the next read takes about as long as the last one. It is at least a part of a read's
// time: if all daemons read without a pause, those that publish to the others wouldn't get through.
func throttlePause(inUse bool, readTime, behindFor, maxLag time.Duration) time.Duration {
	full := throttleFactor * readTime
	if !inUse {
		return full
	}
	least := time.Duration(minPauseShare * float64(min(readTime, maxLag)))
	return max(least, min(full, maxLag-behindFor-2*readTime))
}

// minPauseShare is the least pause after a read, as a share of the time that the read took.
const minPauseShare = 0.5

// recordSize is a moving average of the sizes of records. Records of a topic differ much in size, and
// a page may hold a single one.
type recordSize struct {
	mean  float64 // bytes
	known bool
}

// recordSizeWeight is the weight of a page in the average.
const recordSizeWeight = 0.25

// add takes a page's records into account.
func (s *recordSize) add(page store.Page) {
	if len(page.Records) == 0 {
		return
	}
	mean := float64(page.Bytes()) / float64(len(page.Records))
	if !s.known {
		s.mean, s.known = mean, true
		return
	}
	s.mean += recordSizeWeight * (mean - s.mean)
}

// newestOverhead is the size of a record in a page of newest records relative to its size in the
// log: the platform's store returns values in base64.
const newestOverhead = 4.0 / 3

// backlog describes what a loaded view of a keyed topic lacks.
type backlog struct {
	records     int64   // number of records
	recordBytes float64 // mean size of a record
	newestBytes int     // size of the newest records of all keys
}

// rescan reports whether to read the newest record of each key in place of the missing records.
// It takes fewer bytes when most of these are superseded, and its size doesn't grow with their
// number: a view that reads every superseded record falls behind without bound once they are
// written faster than it can read them.
func (b backlog) rescan() bool {
	return float64(b.records)*b.recordBytes > newestOverhead*float64(b.newestBytes)
}

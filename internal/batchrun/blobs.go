package batchrun

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

const (
	// maxCacheBytes bounds the size of the cached blobs. It is enough for the texts of the last
	// seconds, which are what trainers read. Each further MB would add to the peak memory of
	// the process on every VM, while a blob that is no longer cached costs one call to the
	// store.
	maxCacheBytes = 2 << 20
	// fetchTimeout bounds the time in which missing blobs are read from the log.
	fetchTimeout = 1200 * time.Millisecond
	// callReads and maxReads bound the reads that are under way at a time, for one call and for a partition.
	// With more, the blobs that each call needs first would share the link with those that it
	// needs last.
	callReads = 2
	maxReads  = 4
	// maxReadRefusals is the number of refusals in a row after which a call fails. If the store refuses
	// all reads of this VM, the caller had better ask another one.
	maxReadRefusals = 4
)

// readRefusalBackoff is the wait after reads that the store refused, which it does when the fleet
// makes too many of them in a second.
var readRefusalBackoff = retry.Backoff{Initial: 100 * time.Millisecond, Max: 200 * time.Millisecond}

var (
	blobReads     = metrics.Counter("blob_reads")
	blobBytesRead = metrics.Counter("blob_bytes_read")
)

// blobKey identifies a blob by its partition and its offset there.
type blobKey struct {
	part   int
	offset int64
}

// blobCache reads blobs of requests and texts from the log, and caches those that were read or
// written last. It is safe for concurrent use.
type blobCache struct {
	log store.Log
	// reads holds an element for each read that is under way, by partition: the store may leave the reads
	// of one partition unanswered.
	reads []chan struct{}

	mu         sync.Mutex
	byKey      map[blobKey][]byte
	order      []blobKey // oldest first
	size       int       // of the cached blobs in bytes
	blobBytes  []float64 // typical size of a blob, by partition
	fetchLimit int       // on the bytes of a read
	rate       float64   // bytes per second that the reads of a call bring
	callCost   time.Duration
}

func newBlobCache(log store.Log, parts int) *blobCache {
	b := &blobCache{log: log, byKey: map[blobKey][]byte{}, blobBytes: slices.Repeat([]float64{initialBlobBytes}, parts), fetchLimit: initialFetchBytes, rate: initialFetchRate, callCost: minCallCost}
	for range parts {
		b.reads = append(b.reads, make(chan struct{}, maxReads))
	}
	return b
}

// put caches a blob. The oldest ones are dropped if the cache becomes too large.
func (b *blobCache) put(part int, offset int64, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := blobKey{part, offset}
	if _, ok := b.byKey[key]; ok {
		return
	}
	b.byKey[key] = data
	b.order = append(b.order, key)
	b.size += len(data)
	for b.size > maxCacheBytes && len(b.order) > 1 {
		b.size -= len(b.byKey[b.order[0]])
		delete(b.byKey, b.order[0])
		b.order = b.order[1:]
	}
}

// copyCached copies those blobs of a partition that are cached to found, by offset. It returns
// the offsets of the others.
func (b *blobCache) copyCached(part int, offsets []int64, found map[int64][]byte) (missing []int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, offset := range offsets {
		data, ok := b.byKey[blobKey{part, offset}]
		if ok {
			found[offset] = data
		} else {
			missing = append(missing, offset)
		}
	}
	return missing
}

// cached returns those blobs of a partition that are cached, by offset.
func (b *blobCache) cached(part int, offsets []int64) map[int64][]byte {
	found := map[int64][]byte{}
	b.copyCached(part, offsets, found)
	return found
}

// errEnoughBlobs is returned when a fetchLimit is reached and some blobs are missing.
var errEnoughBlobs = errors.New("batchrun: limit of a page reached")

// fetchLimit bounds what is read in one call. It doesn't apply to the first blobs, without which there
// is nothing to return. The zero value sets no bound.
type fetchLimit struct {
	first int           // number of these blobs
	ends  []int         // numbers of blobs after each result, in order
	bytes int           // of the blobs found
	time  time.Duration // since the call began, from which on nothing further is read
}

// get returns blobs of a partition by offset: those in known, and the others from the cache or
// the log. With an error it returns the blobs that it has found.
func (b *blobCache) get(ctx context.Context, part int, offsets []int64, known map[int64][]byte) (map[int64][]byte, error) {
	return b.getUpTo(ctx, part, offsets, known, fetchLimit{}, &fetchStats{})
}

// getUpTo is get with a limit. The offsets are in the order in which the blobs are needed. Refused reads
// are retried. It counts its reads in stats.
func (b *blobCache) getUpTo(ctx context.Context, part int, offsets []int64, known map[int64][]byte, limit fetchLimit, stats *fetchStats) (map[int64][]byte, error) {
	found := map[int64][]byte{}
	maps.Copy(found, known)
	began := time.Now()
	var refusals readRefusals
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		b.copyCached(part, missingOf(offsets, found), found)
		wanted := limit.cut(offsets, found)
		missing := missingOf(wanted, found)
		switch {
		case len(missing) == 0 && len(wanted) == len(offsets):
			return found, nil
		case len(missing) == 0 || limit.expired(time.Since(began)) && len(missingOf(offsets[:limit.first], found)) == 0:
			return only(wanted, found), errEnoughBlobs
		}
		missing = missing[:len(missingOf(wanted[:b.readAhead(part, wanted, limit, found, time.Since(began))], found))]
		ranges := planReads(missing, b.estimate(part))
		before := len(found)
		err := b.fetchAll(ctx, part, ranges[:min(len(ranges), callReads)], missing, found, stats)
		if err != nil && !refusals.retry(ctx, err, len(found) > before) {
			return only(wanted, found), err
		}
	}
}

// readRefusals is the number of refused reads in a row of one call.
type readRefusals int

// retry waits before the next read and reports whether there is one after a failed read. progress
// says that blobs were found since the last one.
func (r *readRefusals) retry(ctx context.Context, err error, progress bool) bool {
	if !errors.Is(err, store.ErrNotDone) {
		return false
	}
	if progress {
		*r = 0
	}
	*r++
	return *r < maxReadRefusals && pause.For(ctx, readRefusalBackoff.Delay(int(*r), rand.Float64()))
}

// readAhead returns how many of the wanted blobs to read next.
func (b *blobCache) readAhead(part int, wanted []int64, limit fetchLimit, found map[int64][]byte, elapsed time.Duration) int {
	if limit.time == 0 {
		return len(wanted)
	}
	e := b.estimate(part)
	size := func(missing []int64) int { return sizeOf(planReads(missing, e), e) }
	return readAhead(wanted, limit.ends, found, size, e.rate*(limit.time-elapsed).Seconds())
}

// recordRate takes the reads that a call made at once into account.
func (b *blobCache) recordRate(bytes int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if took > 0 {
		b.rate += fetchRateWeight * (float64(bytes)/took.Seconds() - b.rate)
	}
}

// missingOf returns the offsets whose blobs aren't in found.
func missingOf(offsets []int64, found map[int64][]byte) []int64 {
	return slices.DeleteFunc(slices.Clone(offsets), func(offset int64) bool { _, ok := found[offset]; return ok })
}

// only returns those of the blobs found that are wanted.
func only(wanted []int64, found map[int64][]byte) map[int64][]byte {
	out := map[int64][]byte{}
	for _, offset := range wanted {
		if data, ok := found[offset]; ok {
			out[offset] = data
		}
	}
	return out
}

// cut returns the offsets that are needed until the limit of bytes is reached.
func (l fetchLimit) cut(offsets []int64, found map[int64][]byte) []int64 {
	size := 0
	for i, offset := range offsets {
		if l.bytes > 0 && size >= l.bytes && i >= l.first {
			return offsets[:i]
		}
		size += len(found[offset])
	}
	return offsets
}

// expired reports whether the time has passed within which blobs are read.
func (l fetchLimit) expired(elapsed time.Duration) bool { return l.time > 0 && elapsed >= l.time }

// estimate returns what the reads of a partition are planned by.
func (b *blobCache) estimate(part int) fetchEstimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fetchEstimate{blobBytes: b.blobBytes[part], limit: b.fetchLimit, rate: b.rate, callCost: b.callCost}
}

// recordSizes takes the blobs of a read into account.
func (b *blobCache) recordSizes(part int, blobs [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blobBytes[part] += blobBytesWeight * (medianBytes(blobs) - b.blobBytes[part])
}

// adapt takes the outcome and the time of a read into account.
func (b *blobCache) adapt(err error, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refused := errors.Is(err, store.ErrNotDone)
	b.callCost = nextCallCost(b.callCost, refused)
	if err == nil || took > slowFetch && !refused { // the others have transferred nothing
		b.fetchLimit = nextFetchLimit(b.fetchLimit, took)
	}
}

// fetchAll reads ranges concurrently and adds the missing blobs among them to found. A range may be
// read in part.
func (b *blobCache) fetchAll(ctx context.Context, part int, ranges []blobRange, missing []int64, found map[int64][]byte, stats *fetchStats) error {
	began, before := time.Now(), stats.readBytes
	var group errgroup.Group
	pages := make([][][]byte, len(ranges))
	for i, r := range ranges {
		group.Go(func() (err error) {
			pages[i], err = b.fetch(ctx, part, r)
			return err
		})
	}
	err := group.Wait()
	took := time.Since(began)
	for i, page := range pages {
		if len(page) > 0 || err != nil {
			stats.reads++
		}
		for n, data := range page {
			stats.readBytes += len(data)
			if offset := ranges[i].first + int64(n); slices.Contains(missing, offset) {
				found[offset] = data
			}
		}
	}
	if bytes := stats.readBytes - before; bytes > 0 || err != nil && !errors.Is(err, store.ErrNotDone) {
		b.recordRate(bytes, took)
	}
	return err
}

// fetch reads a range and returns its first blobs, none if all of it has been cached since. At least
// one is read otherwise.
func (b *blobCache) fetch(ctx context.Context, part int, r blobRange) ([][]byte, error) {
	select {
	case b.reads[part] <- struct{}{}:
		defer func() { <-b.reads[part] }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if b.isCached(part, r) {
		return nil, nil
	}
	began := time.Now()
	page, err := b.log.Read(ctx, textTopic, part, store.ReadOptions{Offset: r.first, MaxBytes: r.fetchBytes(b.estimate(part))})
	if err == nil && len(page.Records) == 0 && page.End > r.first {
		page, err = b.log.Read(ctx, textTopic, part, store.ReadOptions{Offset: r.first}) // the blob exceeds the limit
	}
	b.adapt(err, time.Since(began))
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, fmt.Errorf("%w: no blob at offset %d of partition %d", store.ErrUnknown, r.first, part)
	}
	blobReads.Add(1)
	blobBytesRead.Add(int64(page.Bytes()))
	b.recordSizes(part, page.Records)
	for i, data := range page.Records {
		b.put(part, r.first+int64(i), data)
	}
	return page.Records, nil
}

// isCached reports whether the ends of a range are cached: another call has read it.
func (b *blobCache) isCached(part int, r blobRange) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKey[blobKey{part, r.first}] != nil && b.byKey[blobKey{part, r.last}] != nil
}

func bytesOf(blobs map[int64][]byte) (n int) {
	for _, data := range blobs {
		n += len(data)
	}
	return n
}

package batchrun

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
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
	// A read for at most smallFetchBlobs blobs requests smallFetchBytes, one for more of them
	// largeFetchBytes: a read returns everything after the first blob, up to its limit.
	smallFetchBlobs = 4
	smallFetchBytes = 256 << 10
	largeFetchBytes = 1 << 20
)

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
	// fetchSlots allows one read at a time, by partition. Its blobs are often those that the
	// callers waiting for the slot need.
	fetchSlots []chan struct{}

	mu    sync.Mutex
	byKey map[blobKey][]byte
	order []blobKey // oldest first
	size  int       // of the cached blobs in bytes
}

func newBlobCache(log store.Log, parts int) *blobCache {
	b := &blobCache{log: log, byKey: map[blobKey][]byte{}}
	for range parts {
		b.fetchSlots = append(b.fetchSlots, make(chan struct{}, 1))
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

// errEnoughBlobs is returned when the blobs found reach a limit of bytes and some are missing.
var errEnoughBlobs = errors.New("batchrun: blobs exceed the size of a page")

// get returns blobs of a partition by offset: those in known, and the others from the cache or
// the log. With an error it returns the blobs that it has found.
func (b *blobCache) get(ctx context.Context, part int, offsets []int64, known map[int64][]byte) (map[int64][]byte, error) {
	return b.getUpTo(ctx, part, offsets, known, math.MaxInt, &fetchStats{})
}

// getUpTo is get with a limit of bytes, from which on no further blobs are read. It counts its reads
// in stats.
func (b *blobCache) getUpTo(ctx context.Context, part int, offsets []int64, known map[int64][]byte, limit int, stats *fetchStats) (map[int64][]byte, error) {
	found := map[int64][]byte{}
	maps.Copy(found, known)
	missing := slices.DeleteFunc(slices.Clone(offsets), func(offset int64) bool { _, ok := known[offset]; return ok })
	missing = b.copyCached(part, missing, found)
	if len(missing) == 0 {
		return found, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	select {
	case b.fetchSlots[part] <- struct{}{}:
		defer func() { <-b.fetchSlots[part] }()
	case <-ctx.Done():
		return found, ctx.Err()
	}
	missing = b.copyCached(part, missing, found)
	slices.Sort(missing)
	for len(missing) > 0 {
		if bytesOf(found) >= limit {
			return found, errEnoughBlobs
		}
		var err error
		if missing, err = b.fetch(ctx, part, missing, found, stats); err != nil {
			return found, err
		}
	}
	return found, nil
}

func bytesOf(blobs map[int64][]byte) (n int) {
	for _, data := range blobs {
		n += len(data)
	}
	return n
}

// fetch reads a partition's blobs from the first missing one on, and adds the missing ones
// among them to found. It returns the offsets of those that are still missing.
func (b *blobCache) fetch(ctx context.Context, part int, missing []int64, found map[int64][]byte, stats *fetchStats) ([]int64, error) {
	limit := largeFetchBytes
	if len(missing) <= smallFetchBlobs {
		limit = smallFetchBytes
	}
	first := missing[0]
	stats.reads++
	page, err := b.log.Read(ctx, textTopic, part, store.ReadOptions{Offset: first, MaxBytes: limit})
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, fmt.Errorf("%w: no blob at offset %d of partition %d", store.ErrUnknown, first, part)
	}
	blobReads.Add(1)
	stats.readBytes += page.Bytes()
	for i, data := range page.Records {
		offset := first + int64(i)
		blobBytesRead.Add(int64(len(data)))
		b.put(part, offset, data)
		if slices.Contains(missing, offset) {
			found[offset] = data
		}
	}
	return slices.DeleteFunc(missing, func(offset int64) bool { _, ok := found[offset]; return ok }), nil
}

package batchrun

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

const (
	// cacheBytes bounds the blobs that a daemon keeps: the texts of the last seconds, which
	// is what trainers read. Each MB more is one at the process's peak, on every VM, and
	// what is read again later costs one call to the store.
	cacheBytes = 2 << 20
	// fetchTimeout bounds one read of blobs from the log.
	fetchTimeout = 1200 * time.Millisecond
	// fewBlobs and fewBytes: a read for few blobs asks for little, since it brings
	// all that lies behind the first one.
	fewBlobs  = 4
	fewBytes  = 256 << 10
	manyBytes = 1 << 20
)

var (
	blobsFetched = metrics.Counter("blob_reads")
	blobBytes    = metrics.Counter("blob_bytes_read")
)

type blobKey struct {
	part int
	at   int64
}

// blobs reads requests and texts from the log, and keeps what was read or written
// last. It is safe for concurrent use.
type blobs struct {
	log     store.Log
	fetches []chan struct{} // one read of a partition at a time: it serves the others too

	mu    sync.Mutex
	byKey map[blobKey][]byte
	order []blobKey // oldest first
	size  int
}

func newBlobs(log store.Log, parts int) *blobs {
	b := &blobs{log: log, byKey: map[blobKey][]byte{}}
	for range parts {
		b.fetches = append(b.fetches, make(chan struct{}, 1))
	}
	return b
}

func (b *blobs) put(part int, at int64, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := blobKey{part, at}
	if _, ok := b.byKey[key]; ok {
		return
	}
	b.byKey[key] = data
	b.order = append(b.order, key)
	b.size += len(data)
	for b.size > cacheBytes && len(b.order) > 1 {
		b.size -= len(b.byKey[b.order[0]])
		delete(b.byKey, b.order[0])
		b.order = b.order[1:]
	}
}

// take moves the kept ones of the wanted blobs to got and returns the others.
func (b *blobs) take(part int, wanted []int64, got map[int64][]byte) (missing []int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range wanted {
		data, ok := b.byKey[blobKey{part, at}]
		if ok {
			got[at] = data
		} else {
			missing = append(missing, at)
		}
	}
	return missing
}

// kept returns those of the wanted blobs that are kept.
func (b *blobs) kept(part int, wanted []int64) map[int64][]byte {
	got := map[int64][]byte{}
	b.take(part, wanted, got)
	return got
}

// get returns the blobs at the offsets of a partition. Those that are known already
// aren't looked for. With an error it returns what was at hand.
func (b *blobs) get(ctx context.Context, part int, offsets []int64, known map[int64][]byte) (map[int64][]byte, error) {
	got := map[int64][]byte{}
	maps.Copy(got, known)
	missing := slices.DeleteFunc(slices.Clone(offsets), func(at int64) bool { _, ok := known[at]; return ok })
	missing = b.take(part, missing, got)
	if len(missing) == 0 {
		return got, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	select {
	case b.fetches[part] <- struct{}{}:
		defer func() { <-b.fetches[part] }()
	case <-ctx.Done():
		return got, ctx.Err()
	}
	missing = b.take(part, missing, got)
	slices.Sort(missing)
	for len(missing) > 0 {
		var err error
		if missing, err = b.fetch(ctx, part, missing, got); err != nil {
			return got, err
		}
	}
	return got, nil
}

// fetch reads on from the first missing blob and returns what is still missing.
func (b *blobs) fetch(ctx context.Context, part int, missing []int64, got map[int64][]byte) ([]int64, error) {
	limit := manyBytes
	if len(missing) <= fewBlobs {
		limit = fewBytes
	}
	from := missing[0]
	page, err := b.log.Read(ctx, textTopic, part, store.ReadFrom{Offset: from, MaxBytes: limit})
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, fmt.Errorf("%w: no blob at offset %d of partition %d", store.ErrUnknown, from, part)
	}
	blobsFetched.Add(1)
	for i, data := range page.Records {
		at := from + int64(i)
		blobBytes.Add(int64(len(data)))
		b.put(part, at, data)
		if slices.Contains(missing, at) {
			got[at] = data
		}
	}
	return slices.DeleteFunc(missing, func(at int64) bool { _, ok := got[at]; return ok }), nil
}

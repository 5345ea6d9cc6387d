package store

import (
	"context"
	"time"
)

const (
	// FirstAppendTimeout is the timeout of the first attempt of an append. The timeout doubles with
	// each further attempt, up to maxAppendTimeout. A lost response never comes, and waiting
	// for it delays everything that follows. A slow store takes some 250 ms.
	FirstAppendTimeout = 400 * time.Millisecond
	maxAppendTimeout   = 1500 * time.Millisecond
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 4
)

// AppendIdempotent appends records that have the same effect if they are in the log more than
// once, so the caller may retry it after any error. attempt is the number of the attempt, from
// 1, and determines the timeout.
func AppendIdempotent(ctx context.Context, log Log, topic string, partition int, records [][]byte, attempt int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, min(FirstAppendTimeout<<min(attempt-1, maxDoublings), maxAppendTimeout))
	defer cancel()
	return log.Append(ctx, topic, partition, records)
}

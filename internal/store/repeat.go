package store

import (
	"context"
	"time"
)

const (
	// FirstAnswer and lastAnswer bound the wait for an append's answer, which doubles
	// from try to try. One that was lost never comes, and waiting for it holds up all
	// that follows; a slow store needs some 250 ms.
	FirstAnswer = 400 * time.Millisecond
	lastAnswer  = 1500 * time.Millisecond
	// maxDoublings keeps the shift within bounds.
	maxDoublings = 4
)

// AppendRepeatable is an append that may be made again, by its try, counted from 1: of records
// that count once however often they stand in the log.
func AppendRepeatable(ctx context.Context, log Log, topic string, part int, records [][]byte, try int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, min(FirstAnswer<<min(try-1, maxDoublings), lastAnswer))
	defer cancel()
	return log.Append(ctx, topic, part, records)
}

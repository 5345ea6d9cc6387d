package batchrun

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

var (
	batchesAccepted = metrics.Counter("batches_accepted")
	batchesRefused  = metrics.Counter("batches_refused")
	acceptTime      = metrics.Latency("batches_accept_ms")
)

const (
	// submitTimeout bounds a whole submission. A trainer that gets no answer within seconds
	// resends the batch.
	submitTimeout = 3 * time.Second
	// readBackTimeout is how long to look for the effect of an append that wasn't answered
	// before it is repeated. If it took effect, its records are read within some ms.
	readBackTimeout = 100 * time.Millisecond
	// maxRefusals is the number of refusals by the store after which an append fails. A store
	// that refuses one call may accept the next.
	maxRefusals = 3
)

// refusalBackoff is the wait after a refusal by the store. A trainer waits for two of them at
// most.
var refusalBackoff = retry.Backoff{Initial: 120 * time.Millisecond, Max: 240 * time.Millisecond}

// Submit accepts a batch. It is idempotent by the batch's ID. A nil error means that the batch is
// durable. Errors: ErrNotRun, ErrUnknown, ErrTooLarge.
func (s *Service) Submit(ctx context.Context, id string, head batch.Header, items []batch.Item, requests []batch.Request) error {
	began := time.Now()
	err := s.submit(ctx, id, head, items, requests)
	acceptTime.Observe(time.Since(began))
	line := s.options.Logger.Info()
	if err != nil {
		batchesRefused.Add(1)
		line = s.options.Logger.Warn().Err(err)
	} else {
		batchesAccepted.Add(1)
	}
	line.Str("batch", id).Str("model", head.Model).Int64("step", head.Step).Int64("min_version", head.MinVersion).
		Int("samples", len(items)).Dur("took", time.Since(began)).Msg("batch submitted")
	return err
}

// submit is Submit without logging. It doesn't stop when the caller leaves.
func (s *Service) submit(ctx context.Context, id string, head batch.Header, items []batch.Item, requests []batch.Request) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	part, err := s.modelPartitions.assign(ctx, head.Model, len(items))
	if err != nil {
		return errors.Join(ErrNotRun, err)
	}
	p := s.partitions[part]
	if s.knownAccepted(ctx, p, id) {
		return nil
	}
	head.AcceptedMS = time.Now().UnixMilli()
	if head.RequestsOffset, head.RequestCounts, err = s.appendRequests(ctx, p, requests); err != nil {
		return err
	}
	records, err := s.encodeBatch(id, head, items)
	if err != nil {
		return err
	}
	return s.appendRepeatable(ctx, p, records, func() bool { return s.knownAccepted(ctx, p, id) })
}

// knownAccepted reports whether a batch is known to be accepted, from this daemon's view or by
// the partition's owner. If it reports false the batch may be accepted all the same; appending
// it again is safe. The check saves writing the records and requests of a batch that is resent.
func (s *Service) knownAccepted(ctx context.Context, p *partition, id string) bool {
	if p.hasBatch(id) {
		return true
	}
	if p.follower.Loaded() || s.options.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	owners := s.directory.cached(s.options.Now())
	if owners == nil {
		var err error
		if owners, err = s.directory.refresh(ctx, s.options.Now()); err != nil {
			s.options.Logger.Warn().Err(err).Str("batch", id).Msg("failed to read the partition owners; treating the batch as new")
			return false
		}
	}
	if owners[p.number] == "" {
		return false
	}
	answer, err := s.askOwner(ctx, owners[p.number], id, false)
	return err == nil && answer.Found // a failed call has been logged
}

// appendRequests appends blobs with the requests of a batch. It returns the offset of the first
// blob and the number of requests in each. Blobs have no effect until a record refers to them,
// so any failure means that the batch isn't accepted. Errors: ErrNotRun, ErrTooLarge.
func (s *Service) appendRequests(ctx context.Context, p *partition, requests []batch.Request) (offset int64, counts []int, err error) {
	blobs, counts, err := batch.PackRequests(requests, s.options.RecordBytes-encodingMargin)
	if err != nil {
		return 0, nil, errors.Join(ErrTooLarge, err)
	}
	if totalSize(blobs) > s.options.CallBytes {
		return 0, nil, ErrTooLarge
	}
	for attempt, refusals := 1, 0; ; attempt++ {
		next := time.NewTimer(outboxRetryInterval)
		offset, err = store.AppendIdempotent(ctx, s.options.Log, textTopic, p.number, blobs, attempt)
		if err == nil {
			break
		}
		if errors.Is(err, store.ErrNotDone) {
			refusals++
			pause.For(ctx, refusalBackoff.Delay(refusals, rand.Float64()))
		}
		if refusals == maxRefusals || ctx.Err() != nil || errors.Is(err, store.ErrRejected) {
			return 0, nil, errors.Join(ErrNotRun, err)
		}
		if errors.Is(err, store.ErrNotDone) {
			continue // has waited
		}
		select { // a connection that is reset fails at once
		case <-next.C:
		case <-ctx.Done():
		}
	}
	if p.follower.InUse() { // only the partition's owner needs the requests
		for i, data := range blobs {
			s.blobs.put(p.number, offset+int64(i), data)
		}
	}
	return offset, counts, nil
}

// encodingMargin is the part of a record's size limit that is reserved for the encoding, in
// bytes.
const encodingMargin = 1 << 10

// totalSize returns the size of records or blobs in an append, with 4 bytes of framing for each.
func totalSize(blobs [][]byte) int {
	n := 0
	for _, b := range blobs {
		n += len(b) + 4
	}
	return n
}

// encodeBatch returns the records of a batch. Error: ErrTooLarge.
func (s *Service) encodeBatch(id string, head batch.Header, items []batch.Item) ([][]byte, error) {
	var records [][]byte
	for _, part := range batch.SplitAccepted(id, uuid.NewString(), head, items, s.options.RecordBytes-encodingMargin) {
		data, err := batch.Encode(part)
		if err != nil {
			return nil, errors.Join(ErrTooLarge, err)
		}
		records = append(records, data)
	}
	if totalSize(records) > s.options.CallBytes {
		return nil, ErrTooLarge
	}
	return records, nil
}

// appendRepeatable appends records that have the same effect however often they are in the log.
// inEffect reports whether they have had it. An append without an answer doesn't count as
// refused: its records may be in the log, or get there seconds later. Errors: ErrNotRun,
// ErrUnknown.
func (s *Service) appendRepeatable(ctx context.Context, p *partition, records [][]byte, inEffect func() bool) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	var lastErr error
	unknown := false
	for attempt, refusals := 1, 0; ctx.Err() == nil; attempt++ {
		_, err := store.AppendIdempotent(ctx, s.options.Log, batchTopic, p.number, records, attempt)
		if err == nil {
			return nil
		}
		lastErr = err
		if errors.Is(err, store.ErrNotDone) {
			if refusals++; refusals == maxRefusals {
				break
			}
			pause.For(ctx, refusalBackoff.Delay(refusals, rand.Float64()))
			continue
		}
		unknown = true
		if s.awaitEffect(p, inEffect) {
			return nil
		}
	}
	if unknown {
		return errors.Join(ErrUnknown, lastErr)
	}
	return errors.Join(ErrNotRun, lastErr)
}

// awaitEffect waits up to readBackTimeout until the view of a partition shows an append's
// effect, and reports whether it does.
func (s *Service) awaitEffect(p *partition, inEffect func() bool) bool {
	timeout := time.After(readBackTimeout)
	for {
		changed := p.follower.Changed()
		if inEffect() {
			return true
		}
		select {
		case <-changed:
		case <-timeout:
			return inEffect()
		}
	}
}

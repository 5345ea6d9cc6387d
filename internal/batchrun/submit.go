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
	// submitWait bounds a whole submission; the trainer resends a batch that gets no
	// answer within seconds.
	submitWait = 3 * time.Second
	// seenWait is how long a batch whose append had no answer is looked for in the log
	// before it is appended once more. What was done is read within some ms.
	seenWait = 100 * time.Millisecond
	// refusedTries: a store that refuses a call may take the next.
	refusedTries = 3
)

// refusedBackoff is the wait after refusals, of which a trainer waits for two at most.
var refusedBackoff = retry.Backoff{First: 120 * time.Millisecond, Max: 240 * time.Millisecond}

// Submit accepts a batch once, however often it comes. A nil error promises that
// it will be kept. Errors: ErrNotRun, ErrUnknown, ErrTooLarge.
func (s *Service) Submit(ctx context.Context, id string, head batch.Head, items []batch.Item, requests []batch.Request) error {
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

func (s *Service) submit(ctx context.Context, id string, head batch.Head, items []batch.Item, requests []batch.Request) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitWait)
	defer cancel()
	part, err := s.modelPartitions.assign(ctx, head.Model, len(items))
	if err != nil {
		return errors.Join(ErrNotRun, err)
	}
	p := s.partitions[part]
	if s.accepted(ctx, p, id) {
		return nil
	}
	head.AcceptedMS = time.Now().UnixMilli()
	if head.RequestsAt, head.RequestCounts, err = s.putRequests(ctx, p, requests); err != nil {
		return err
	}
	records, err := s.encode(id, head, items)
	if err != nil {
		return err
	}
	return s.appendOnce(ctx, p, records, func() bool { return s.accepted(ctx, p, id) })
}

// accepted reports whether a batch is known to be accepted, by the view here or by the
// partition's owner. Otherwise nothing is certain: the batch is appended, and counts once.
// It spares the records and requests of a batch that comes again.
func (s *Service) accepted(ctx context.Context, p *partition, id string) bool {
	if p.hasBatch(id) {
		return true
	}
	if p.follower.Loaded() || s.options.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	owners := s.directory.cached(s.options.Now())
	if owners == nil {
		var err error
		if owners, err = s.directory.refresh(ctx, s.options.Now()); err != nil {
			s.options.Logger.Warn().Err(err).Str("batch", id).Msg("owners not read, batch taken for new")
			return false
		}
	}
	if owners[p.number] == "" {
		return false
	}
	answer, err := s.askOne(ctx, owners[p.number], id, false)
	return err == nil && answer.Found // askOne logs its failure
}

// putRequests writes the requests of a batch to the log. Until a record names
// them they mean nothing, so every failure is "not accepted".
func (s *Service) putRequests(ctx context.Context, p *partition, requests []batch.Request) (at int64, counts []int, err error) {
	packed, counts, err := batch.PackRequests(requests, s.options.RecordBytes-blobMargin)
	if err != nil {
		return 0, nil, errors.Join(ErrTooLarge, err)
	}
	if total(packed) > s.options.CallBytes {
		return 0, nil, ErrTooLarge
	}
	for try, refused := 1, 0; ; try++ {
		at, err = store.AppendRepeatable(ctx, s.options.Log, textTopic, p.number, packed, try)
		if err == nil {
			break
		}
		if errors.Is(err, store.ErrNotDone) {
			refused++
			pause.For(ctx, refusedBackoff.Pause(refused, rand.Float64()))
		}
		if refused == refusedTries || ctx.Err() != nil || errors.Is(err, store.ErrRejected) {
			return 0, nil, errors.Join(ErrNotRun, err)
		}
	}
	if p.follower.Held() { // the owner needs them, and nobody else
		for i, data := range packed {
			s.blobs.put(p.number, at+int64(i), data)
		}
	}
	return at, counts, nil
}

// blobMargin is left of a record for the encoding's own bytes.
const blobMargin = 1 << 10

func total(blobs [][]byte) int {
	n := 0
	for _, b := range blobs {
		n += len(b) + 4
	}
	return n
}

func (s *Service) encode(id string, head batch.Head, items []batch.Item) ([][]byte, error) {
	var records [][]byte
	for _, part := range batch.Split(id, uuid.NewString(), head, items, s.options.RecordBytes-blobMargin) {
		data, err := batch.Encode(part)
		if err != nil {
			return nil, errors.Join(ErrTooLarge, err)
		}
		records = append(records, data)
	}
	if total(records) > s.options.CallBytes {
		return nil, ErrTooLarge
	}
	return records, nil
}

// appendOnce appends records whose effect shows by seen, and which count once
// however often they stand in the log. When an append's outcome is unknown it isn't
// a refusal: the records may be in the log, or come seconds later.
func (s *Service) appendOnce(ctx context.Context, p *partition, records [][]byte, seen func() bool) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitWait)
	defer cancel()
	var last error
	unknown := false
	for try, refused := 1, 0; ctx.Err() == nil; try++ {
		_, err := store.AppendRepeatable(ctx, s.options.Log, batchTopic, p.number, records, try)
		if err == nil {
			return nil
		}
		last = err
		if errors.Is(err, store.ErrNotDone) {
			if refused++; refused == refusedTries {
				break
			}
			pause.For(ctx, refusedBackoff.Pause(refused, rand.Float64()))
			continue
		}
		unknown = true
		if s.appears(p, seen) {
			return nil
		}
	}
	if unknown {
		return errors.Join(ErrUnknown, last)
	}
	return errors.Join(ErrNotRun, last)
}

func (s *Service) appears(p *partition, seen func() bool) bool {
	limit := time.After(seenWait)
	for {
		changed := p.follower.Changed()
		if seen() {
			return true
		}
		select {
		case <-changed:
		case <-limit:
			return seen()
		}
	}
}

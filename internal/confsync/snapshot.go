package confsync

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
)

// snapshotWriter appends snapshots before the records expire that the state was built
// from. writeIfDue is called after each successful read, so it is also called after the
// first read following an outage.
type snapshotWriter struct {
	store *Store
	// writeAt is when to append, the zero time while no snapshot is due. The random
	// delay lets a second writer see the first one's snapshot and skip its own.
	writeAt time.Time
}

func (w *snapshotWriter) writeIfDue(ctx context.Context) {
	now := w.store.options.Now()
	if !w.store.options.IsSnapshotWriter() || !w.store.snapshotDue(now) {
		w.writeAt = time.Time{}
		return
	}
	if w.writeAt.IsZero() {
		w.writeAt = now.Add(w.jitter())
	}
	if now.Before(w.writeAt) {
		return
	}
	w.write(ctx)
	// This also covers an append whose response was lost: if the snapshot is in the
	// log, the next reads find it and none is due any more.
	w.writeAt = now.Add(w.store.options.SnapshotJitter + w.jitter())
}

func (w *snapshotWriter) jitter() time.Duration {
	return time.Duration(w.store.options.Random() * float64(w.store.options.SnapshotJitter))
}

func (w *snapshotWriter) write(ctx context.Context) {
	snap := w.store.Current().Snapshot()
	data, err := config.EncodeRecord(config.Record{Snapshot: &snap})
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.store.options.AppendTimeout)
		defer cancel()
		_, err = w.store.log.Append(ctx, infra.StreamConfig, [][]byte{data})
	}
	if err != nil {
		countSnapshotFailures.Add(1)
		w.store.logger.Warn().Err(err).Msg("failed to append configuration snapshot")
		return
	}
	countSnapshots.Add(1)
	w.store.logger.Info().Int64("covers", int64(snap.LastOffset)).Msg("configuration snapshot appended")
}

func (s *Store) snapshotDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.SnapshotDue(now, s.options.Retention)
}

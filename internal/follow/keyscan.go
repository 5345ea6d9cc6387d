package follow

import (
	"context"

	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// keyScan is the progress of reading the newest records of a topic's keys. If a page fails, only
// that page is read again: thousands of keys come in dozens of pages, and a scan that began anew
// would never end where a few reads in a hundred fail.
type keyScan struct {
	started bool          // the first page was read
	end     int64         // of the partition at the first page; later records are read after the scan
	after   string        // the last key read
	entries []store.Entry // of all pages read
}

// readKeysPage reads the next page of the newest records, and resets the view to them once all
// pages are there.
func (f *Follower) readKeysPage(ctx context.Context) error {
	after := f.keyScanAfter()
	page, err := f.options.Log.Newest(ctx, f.options.Topic, f.options.Partition, after)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if after != f.keyScan.after {
		return nil // a concurrent call has taken this page
	}
	if !f.keyScan.started {
		f.keyScan = keyScan{started: true, end: page.End}
		f.markBehindLocked()
	}
	f.keyScan.entries = append(f.keyScan.entries, page.Entries...)
	f.keyScan.after = page.LastKey()
	if page.More {
		return nil
	}
	scan := f.keyScan
	f.keyScan = keyScan{}
	if f.loaded && scan.end < f.next {
		return nil
	}
	if f.loaded {
		f.lastKey = scan.after
	}
	f.options.Sink.Reset(scan.entries)
	f.next = scan.end
	f.keySizes = newKeySizes(scan.entries)
	f.loadedBytes += f.keySizes.total
	f.updateEndLocked(scan.end)
	return nil
}

// keyScanAfter returns the key after which the next page begins.
func (f *Follower) keyScanAfter() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keyScan.after
}

// checkEnd looks, after a scan that replaced a loaded view, how many records have been written since.
// A read would find that out with the first of them, and in a row of large records that one is
// superseded. A page of newest records after the last key has hardly more than the end.
func (f *Follower) checkEnd(ctx context.Context) error {
	f.mu.Lock()
	lastKey := f.lastKey
	f.mu.Unlock()
	if lastKey == "" {
		return nil
	}
	page, err := f.options.Log.Newest(ctx, f.options.Topic, f.options.Partition, lastKey)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastKey = ""
	f.updateEndLocked(page.End)
	return nil
}

// readsNewest reports whether the next read is of newest records.
func (f *Follower) readsNewest() bool {
	if !f.options.Keyed {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.keyScan.started {
		return true
	}
	return backlog{records: f.partitionEnd - f.next, stats: f.recordStats, newestBytes: f.keySizes.total}.rescan()
}

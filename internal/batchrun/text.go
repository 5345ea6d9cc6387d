package batchrun

import (
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
)

// text is what this owner has of a sample's text: a base, which it took from the log, the events
// behind it that it has saved, and those that it hasn't. Only the last ones are kept in memory.
type text struct {
	baseEvents   int           // number of events in the base
	baseWriter   string        // writer of the base's last segment
	writer       string        // ID of this owner's part of the text
	savedEvents  int           // behind the base, in the log or the outbox
	events       []batch.Event // not saved
	unsavedBytes int64         // that events take
	firstVersion int64         // weights version of the text's first event, 0 while it has none
	complete     bool          // no event follows
	// supersedesLog says that the text in the log, if it is longer, was retracted by this owner.
	supersedesLog bool
}

// eventOverheadBytes is what an event takes beside its data: its place in a slice that has grown,
// and the rounding of its data's allocation.
const eventOverheadBytes = 64

// eventBytes returns the number of bytes that an event takes in memory.
func eventBytes(e batch.Event) int64 { return eventOverheadBytes + int64(len(e.Data)) }

// position returns the number of saved events, including the base.
func (t *text) position() int { return t.baseEvents + t.savedEvents }

// eventCount returns the number of events received so far, including the base.
func (t *text) eventCount() int { return t.position() + len(t.events) }

// link returns where in the sample's text the unsaved events belong.
func (t *text) link() batch.TextPosition {
	return batch.TextPosition{Events: t.position(), Writer: t.writer, BaseWriter: t.baseWriter, BaseEvents: t.baseEvents}
}

func (t *text) add(e batch.Event) {
	if t.firstVersion == 0 {
		t.firstVersion = e.Version
	}
	t.events = append(t.events, e)
	t.unsavedBytes += eventBytes(e)
}

// takeUnsaved returns the first n unsaved events, which count as saved from then on.
func (t *text) takeUnsaved(n int) []batch.Event {
	taken := t.events[:n:n]
	t.events = slices.Clone(t.events[n:]) // the taken events' memory is freed once they are stored
	t.savedEvents += n
	for _, e := range taken {
		t.unsavedBytes -= eventBytes(e)
	}
	return taken
}

// dropUnsaved drops the events that aren't saved.
func (t *text) dropUnsaved() {
	t.events, t.unsavedBytes = nil, 0
	if t.position() == 0 {
		t.firstVersion = 0
	}
}

// end returns the writer of the last saved segment.
func (t *text) end() string {
	if t.savedEvents > 0 {
		return t.writer
	}
	return t.baseWriter
}

// isBehind reports whether the log has a longer text to resume from.
func (t *text) isBehind(loggedEvents int) bool {
	return !t.supersedesLog && loggedEvents > t.eventCount()
}

// hasOtherVersion reports whether the text has events of another weights version. It looks at
// the first event only: the versions of a text whose batch allows one don't differ.
func (t *text) hasOtherVersion(version int64) bool {
	return t.firstVersion != 0 && t.firstVersion != version
}

package limits

import "time"

// entryHeap orders the entries of a flow: stragglers first, then by step deadline, then
// by latest useful start, then by arrival.
type entryHeap flow

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool { return startsBefore(h.entries[i], h.entries[j]) }

// startsBefore reports whether a starts before b if both are in the same flow.
func startsBefore(a, b *queuedEntry) bool {
	if a.Straggler != b.Straggler {
		return a.Straggler
	}
	if !a.StepDeadline.Equal(b.StepDeadline) {
		return earlier(a.StepDeadline, b.StepDeadline)
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return earlier(a.LatestStart, b.LatestStart)
	}
	return a.sequence < b.sequence
}

// earlier reports whether a is before b, where the zero time comes after all others. The
// times must differ.
func earlier(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return b.IsZero()
	}
	return a.Before(b)
}

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].flowIndex, h.entries[j].flowIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*queuedEntry)
	e.flowIndex = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

// flowHeap orders flows by start tag, then by name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].team.name < h[j].team.name
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// deadlineHeap orders entries by deadline, then by arrival.
type deadlineHeap []*queuedEntry

// first returns the entry with the earliest deadline, or nil if the heap is empty.
func (h deadlineHeap) first() *queuedEntry {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	e := x.(*queuedEntry)
	e.deadlineIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

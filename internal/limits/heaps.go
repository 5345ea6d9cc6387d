package limits

// entryHeap orders a flow's entries: stragglers, then the earliest step
// deadline, then first come.
type entryHeap flow

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool { return before(h.entries[i], h.entries[j]) }

func before(a, b *queued) bool {
	if a.Straggler != b.Straggler {
		return a.Straggler
	}
	if !a.StepDeadline.Equal(b.StepDeadline) {
		if a.StepDeadline.IsZero() || b.StepDeadline.IsZero() {
			return b.StepDeadline.IsZero()
		}
		return a.StepDeadline.Before(b.StepDeadline)
	}
	return a.sequence < b.sequence
}

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].inFlow, h.entries[j].inFlow = i, j
}

// Push is for container/heap.
func (h *entryHeap) Push(x any) {
	e := x.(*queued)
	e.inFlow = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop is for container/heap.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

// flowHeap orders flows by tag, then by name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].name < h[j].name
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lane, h[j].lane = i, j
}

// Push is for container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.lane = len(*h)
	*h = append(*h, f)
}

// Pop is for container/heap.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// dueHeap orders entries by deadline, then first come.
type dueHeap []*queued

func (h dueHeap) first() *queued {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inDues, h[j].inDues = i, j
}

// Push is for container/heap.
func (h *dueHeap) Push(x any) {
	e := x.(*queued)
	e.inDues = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

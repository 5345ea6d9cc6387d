package routing

// indexSet is a set of member indices that adds, removes and draws in O(1).
type indexSet struct {
	items []int32
	at    []int32 // position in items, -1 if absent
}

func newIndexSet(n int) indexSet {
	s := indexSet{items: make([]int32, 0, n), at: make([]int32, n)}
	for i := range s.at {
		s.at[i] = -1
	}
	return s
}

// set puts i in or takes it out.
func (s *indexSet) set(i int, in bool) {
	at := s.at[i]
	if in == (at >= 0) {
		return
	}
	if in {
		s.at[i] = int32(len(s.items))
		s.items = append(s.items, int32(i))
		return
	}
	last := len(s.items) - 1
	moved := s.items[last]
	s.items[at] = moved
	s.at[moved] = at
	s.items = s.items[:last]
	s.at[i] = -1
}

package routing

// indexSet is a set of member indices. Adding, removing and drawing a random element
// take O(1).
type indexSet struct {
	items    []int32
	position []int32 // position in items by index, -1 if absent
}

// newIndexSet returns an empty set for the indices 0 to n-1.
func newIndexSet(n int) indexSet {
	s := indexSet{items: make([]int32, 0, n), position: make([]int32, n)}
	for i := range s.position {
		s.position[i] = -1
	}
	return s
}

// set adds i to the set or removes it.
func (s *indexSet) set(i int, in bool) {
	at := s.position[i]
	if in == (at >= 0) {
		return
	}
	if in {
		s.position[i] = int32(len(s.items))
		s.items = append(s.items, int32(i))
		return
	}
	last := len(s.items) - 1
	moved := s.items[last]
	s.items[at] = moved
	s.position[moved] = at
	s.items = s.items[:last]
	s.position[i] = -1
}

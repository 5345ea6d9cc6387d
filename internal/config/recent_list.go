package config

import (
	"iter"
	"slices"
)

// recentList is an immutable linked list of the newest values of a sequence. push
// returns a new list that shares the older values.
type recentList[T any] struct {
	head   *recentListNode[T]
	length int // number of nodes, up to twice the limit of push
}

type recentListNode[T any] struct {
	value T
	older *recentListNode[T]
}

// push returns the list with a value added. A list of twice the limit is first
// copied down to the limit, so that a push takes amortized constant time.
func (r recentList[T]) push(value T, limit int) recentList[T] {
	if r.length >= 2*limit {
		r = newRecentList(slices.Collect(r.newest(limit)))
	}
	return recentList[T]{head: &recentListNode[T]{value: value, older: r.head}, length: r.length + 1}
}

// newRecentList returns a list of the given values.
func newRecentList[T any](newestFirst []T) recentList[T] {
	var r recentList[T]
	for _, value := range slices.Backward(newestFirst) {
		r.head = &recentListNode[T]{value: value, older: r.head}
		r.length++
	}
	return r
}

// newest yields at most limit values, newest first.
func (r recentList[T]) newest(limit int) iter.Seq[T] {
	return func(yield func(T) bool) {
		remaining := limit
		for node := r.head; node != nil && remaining > 0; node = node.older {
			if !yield(node.value) {
				return
			}
			remaining--
		}
	}
}

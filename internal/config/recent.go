package config

import (
	"iter"
	"slices"
)

// recent holds the newest values of a sequence. It is immutable: push returns
// another one that shares the older values.
type recent[T any] struct {
	head   *recentNode[T]
	length int // of the chain, which may be longer than the limit
}

type recentNode[T any] struct {
	value T
	older *recentNode[T]
}

// push adds a value. The chain is cut when it is twice as long as the limit, so
// that a push costs a constant time on average.
func (r recent[T]) push(value T, limit int) recent[T] {
	if r.length >= 2*limit {
		r = recentOf(slices.Collect(r.newest(limit)))
	}
	return recent[T]{head: &recentNode[T]{value: value, older: r.head}, length: r.length + 1}
}

// recentOf builds the sequence from its values, newest first.
func recentOf[T any](newestFirst []T) recent[T] {
	var r recent[T]
	for _, value := range slices.Backward(newestFirst) {
		r.head = &recentNode[T]{value: value, older: r.head}
		r.length++
	}
	return r
}

// newest yields at most limit values, newest first.
func (r recent[T]) newest(limit int) iter.Seq[T] {
	return func(yield func(T) bool) {
		left := limit
		for node := r.head; node != nil && left > 0; node = node.older {
			if !yield(node.value) {
				return
			}
			left--
		}
	}
}

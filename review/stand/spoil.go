//go:build review

package main

// spoiling is the place of a wrong byte in an answer.
type spoiling int

const (
	spoilNone spoiling = iota
	spoilData          // the data of its last event
	spoilName          // the name of the field with the data of an event in its middle
)

// spoil has the next server that runs an item hand out a wrong byte.
func (w *world) spoil(item string, place spoiling) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoiledItem, w.spoiledPlace = item, place
}

// takeSpoiled returns the place of the wrong byte in the answer to an item that begins now. An
// answer is spoiled once.
func (w *world) takeSpoiled(item string) spoiling {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spoiledItem != item {
		return spoilNone
	}
	w.spoiledItem = ""
	return w.spoiledPlace
}

// takeReport reports whether a server that hasn't spoiled a report yet is to spoil this one.
func (w *world) takeReport() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportsToSpoil == 0 {
		return false
	}
	w.reportsToSpoil--
	return true
}

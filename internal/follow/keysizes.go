package follow

import "github.com/dogwoodflow/dogwoodflow/internal/store"

// keySizes is the sizes of the newest records of a keyed topic.
type keySizes struct {
	byKey map[string]int // bytes
	total int            // bytes
}

func newKeySizes(entries []store.Entry) keySizes {
	s := keySizes{byKey: make(map[string]int, len(entries))}
	for _, e := range entries {
		s.set(e.Key, len(e.Value))
	}
	return s
}

// apply takes a record of the topic into account, and reports whether its key was known. A malformed one
// has no key.
func (s *keySizes) apply(record []byte) (known bool) {
	key, value, err := store.DecodeEntry(record)
	if err != nil {
		return false
	}
	_, known = s.byKey[key]
	s.set(key, len(value))
	return known
}

// set records the size of a key's newest value, 0 if the key was deleted.
func (s *keySizes) set(key string, size int) {
	s.total += size - s.byKey[key]
	if size == 0 {
		delete(s.byKey, key)
		return
	}
	if s.byKey == nil {
		s.byKey = map[string]int{}
	}
	s.byKey[key] = size
}

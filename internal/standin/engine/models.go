package engine

import (
	"fmt"
	"slices"
)

// model is what the engine holds of one model. Guarded by the engine's lock.
type model struct {
	serving  int64 // generates the next token
	reported int64 // named by load reports and order answers
	loaded   []int64
	adapters []string
}

func newModels(first map[string]int64) map[string]*model {
	out := map[string]*model{}
	for name, version := range first {
		out[name] = &model{serving: version, reported: version, loaded: []int64{version}}
	}
	return out
}

func (m *model) has(version int64) bool { return slices.Contains(m.loaded, version) }

// load keeps a version in memory; the oldest that isn't serving makes room.
func (m *model) load(version int64, capacity int) {
	if m.has(version) {
		return
	}
	m.loaded = append(m.loaded, version)
	slices.Sort(m.loaded)
	for i := 0; len(m.loaded) > capacity && i < len(m.loaded); {
		if v := m.loaded[i]; v == m.serving || v == version {
			i++
			continue
		}
		m.loaded = slices.Delete(m.loaded, i, i+1)
	}
}

func (m *model) check(version int64) error {
	if !m.has(version) {
		return fmt.Errorf("version %d isn't loaded", version)
	}
	return nil
}

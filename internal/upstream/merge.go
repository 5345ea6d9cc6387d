package upstream

// merger merges consecutive chunks of one weight version.
type merger struct {
	pending    Chunk // merged so far, valid if hasPending
	hasPending bool
	disabled   bool // flush after each chunk, for the benchmark
}

// add adds a chunk. If it can't be merged with the pending chunk, add returns the latter,
// otherwise nil.
func (m *merger) add(c Chunk) *Chunk {
	if !m.hasPending {
		m.pending, m.hasPending = c, true
		return nil
	}
	if m.canMerge(c) {
		m.merge(c)
		return nil
	}
	out := m.pending
	m.pending = c
	return &out
}

// canMerge reports whether a chunk can be merged with the pending one. A chunk without a
// version has no text, so it can be merged with one of any version.
func (m *merger) canMerge(c Chunk) bool {
	sameVersion := c.Version == m.pending.Version || c.Version == 0 || m.pending.Version == 0
	return sameVersion && m.pending.FinishReason == ""
}

// merge appends a chunk to the pending one.
func (m *merger) merge(c Chunk) {
	m.pending.Text += c.Text
	m.pending.Tokens += c.Tokens
	m.pending.Version = max(m.pending.Version, c.Version)
	m.pending.CachedTokens = max(m.pending.CachedTokens, c.CachedTokens)
	m.pending.FinishReason = c.FinishReason
}

// flush returns the pending chunk and removes it from the merger, nil if there is none.
func (m *merger) flush() *Chunk {
	if !m.hasPending {
		return nil
	}
	out := m.pending
	m.pending, m.hasPending = Chunk{}, false
	return &out
}

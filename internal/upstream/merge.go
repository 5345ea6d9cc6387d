package upstream

// merger joins consecutive chunks of one version.
type merger struct {
	pending Chunk
	have    bool
	off     bool // for the benchmark
}

// add returns the chunk that must go out before the new one, or nil.
func (m *merger) add(c Chunk) *Chunk {
	if !m.have {
		m.pending, m.have = c, true
		return nil
	}
	if m.joins(c) {
		m.join(c)
		return nil
	}
	out := m.pending
	m.pending = c
	return &out
}

// joins: a chunk without a version has no text, so it fits any.
func (m *merger) joins(c Chunk) bool {
	sameVersion := c.Version == m.pending.Version || c.Version == 0 || m.pending.Version == 0
	return sameVersion && m.pending.FinishReason == ""
}

func (m *merger) join(c Chunk) {
	m.pending.Text += c.Text
	m.pending.Tokens += c.Tokens
	m.pending.Version = max(m.pending.Version, c.Version)
	m.pending.CachedTokens = max(m.pending.CachedTokens, c.CachedTokens)
	m.pending.FinishReason = c.FinishReason
}

func (m *merger) take() *Chunk {
	if !m.have {
		return nil
	}
	out := m.pending
	m.pending, m.have = Chunk{}, false
	return &out
}

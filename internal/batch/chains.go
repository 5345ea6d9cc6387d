package batch

import (
	"cmp"
	"maps"
	"slices"
)

// segmentChains holds all texts that owners wrote for a sample, as chains of segments that may
// branch. Two owners may run a sample for a moment: one that is cut off from the log and the
// one that takes over, or an owner that stops, whose last segments reach the log after the
// first ones of the next owner. If only the text counted whose segment came first, the other
// owner would find out at the end that its text doesn't count and run the sample again,
// seconds late. So every segment that continues one of the chains is kept.
type segmentChains struct{ ends map[textEnd]*chainNode }

// textEnd is the end of a chain: the number of its events and the writer of the last segment.
type textEnd struct {
	writer string
	events int
}

// chainNode is a segment of a chain. The first node of each chain has no segment and stands
// for the text that the sample inherited from an earlier batch.
type chainNode struct {
	previous  *chainNode // nil for the first node
	inherited Text       // only in the first node
	segment   Segment
	events    int    // number of events up to the end of the segment
	writer    string // of the segment
}

// add adds a segment and returns its node. It returns nil if the segment continues none of the
// chains or was added before. inherited is the text that the sample inherited from an earlier
// batch; only the first call uses it.
func (c *segmentChains) add(inherited Text, link TextPosition, segment Segment) *chainNode {
	c.begin(inherited)
	previous := c.find(link)
	if previous == nil {
		return nil
	}
	end := textEnd{link.Writer, link.Events + segment.Events}
	if known := c.ends[end]; known != nil && segment.Events > 0 {
		return nil // the record was read twice
	}
	node := &chainNode{previous: previous, segment: segment, events: end.events, writer: link.Writer}
	c.ends[end] = node
	return node
}

// begin adds the first node unless there is one.
func (c *segmentChains) begin(inherited Text) {
	if c.ends == nil {
		c.ends = map[textEnd]*chainNode{{inherited.Writer, inherited.Events}: {inherited: inherited, events: inherited.Events, writer: inherited.Writer}}
	}
}

// find returns the node at a position, nil if no chain ends there.
func (c *segmentChains) find(link TextPosition) *chainNode {
	if n := c.ends[textEnd{link.Writer, link.Events}]; n != nil {
		return n
	}
	if link.Events == link.BaseEvents {
		return c.ends[textEnd{link.BaseWriter, link.BaseEvents}]
	}
	return nil
}

// retract removes the part behind the first kept events of the chain that ends at a position, and
// all that continues this part. It returns the segments removed; what is inherited and longer than
// kept is cut at the end of a segment. inherited is as in add.
func (c *segmentChains) retract(inherited Text, end TextPosition, kept int) (removed []Segment) {
	c.begin(inherited)
	part := map[*chainNode]bool{}
	left := inherited
	for n := c.find(end); n != nil && n.events > kept; n = n.previous {
		part[n] = true
		if n.previous == nil {
			left = n.inherited
		}
	}
	for key, last := range c.ends {
		if segments := last.segmentsFrom(part); len(segments) > 0 {
			delete(c.ends, key)
			removed = append(removed, segments...)
		}
	}
	if len(c.ends) == 0 {
		c.ends = nil
		c.begin(left.firstEvents(kept))
	}
	return removed
}

// segmentsFrom returns the segments from a node of part on up to this node, none if no node of part
// comes before it.
func (n *chainNode) segmentsFrom(part map[*chainNode]bool) (out []Segment) {
	var passed []Segment
	for ; n != nil; n = n.previous {
		passed = append(passed, n.segment)
		passed = append(passed, n.inherited.Segments...)
		if part[n] {
			out = passed
		}
	}
	return out
}

// longest returns the end of the longest chain. Of several as long it is the same at all daemons.
func (c *segmentChains) longest() *chainNode {
	return slices.MaxFunc(slices.Collect(maps.Values(c.ends)), func(a, b *chainNode) int {
		return cmp.Or(cmp.Compare(a.events, b.events), cmp.Compare(b.writer, a.writer))
	})
}

// firstEvents returns the text's whole segments within its first n events.
func (t Text) firstEvents(n int) Text {
	out := Text{}
	for _, s := range t.Segments {
		if out.Events+s.Events > n {
			break
		}
		out.Segments = append(out.Segments, s)
		out.Events += s.Events
	}
	return out
}

// text returns the text that ends with this node.
func (n *chainNode) text() Text {
	out := Text{Events: n.events, Writer: n.writer}
	for ; n.previous != nil; n = n.previous {
		if n.segment.Events > 0 {
			out.Segments = append(out.Segments, n.segment)
		}
	}
	slices.Reverse(out.Segments)
	out.Segments = append(slices.Clip(n.inherited.Segments), out.Segments...)
	return out
}

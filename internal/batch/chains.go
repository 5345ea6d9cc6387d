package batch

import "slices"

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
	if c.ends == nil {
		c.ends = map[textEnd]*chainNode{{inherited.Writer, inherited.Events}: {inherited: inherited, events: inherited.Events, writer: inherited.Writer}}
	}
	previous := c.ends[textEnd{link.Writer, link.Events}]
	if previous == nil && link.Events == link.BaseEvents {
		previous = c.ends[textEnd{link.BaseWriter, link.BaseEvents}]
	}
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

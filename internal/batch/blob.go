package batch

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// overheadBytes is an upper bound of the size of an encoded item or request without its
// strings.
const overheadBytes = 96

// PackRequests encodes the requests of a batch as blobs of at most limit bytes and returns
// how many each blob holds. A single request above the limit is an error.
func PackRequests(requests []Request, limit int) (blobs [][]byte, counts []int, err error) {
	for len(requests) > 0 {
		n, size := 0, overheadBytes
		for n < len(requests) && size+requests[n].size() <= limit {
			size += requests[n].size()
			n++
		}
		if n == 0 {
			return nil, nil, fmt.Errorf("batch: a request has %d bytes, the limit is %d", requests[0].size(), limit)
		}
		data, err := cbor.Marshal(requests[:n])
		if err != nil {
			return nil, nil, fmt.Errorf("batch: encode requests: %w", err)
		}
		blobs = append(blobs, data)
		counts = append(counts, n)
		requests = requests[n:]
	}
	return blobs, counts, nil
}

// size returns an upper bound of the request's size when encoded, in bytes.
func (r Request) size() int {
	n := overheadBytes + len(r.Path) + len(r.Body)
	for name, value := range r.Header {
		n += len(name) + len(value) + 6
	}
	if r.RewardCall != nil {
		n += overheadBytes + len(r.RewardCall.ID) + len(r.RewardCall.Host) + len(r.RewardCall.Path) + len(r.RewardCall.Body)
	}
	return n
}

// UnpackRequests decodes a blob of PackRequests. Error: ErrMalformed.
func UnpackRequests(blob []byte) ([]Request, error) {
	var out []Request
	if err := decoder.Unmarshal(blob, &out); err != nil {
		return nil, fmt.Errorf("%w: requests: %w", ErrMalformed, err)
	}
	return out, nil
}

// RequestBlob returns the offset of the blob that holds an item's request, and the index of
// the request in it. If there is none, the offset is math.MaxInt64.
func (h Header) RequestBlob(item int) (offset int64, index int) {
	for i, n := range h.RequestCounts {
		if item < n {
			return h.RequestsOffset + int64(i), item
		}
		item -= n
	}
	return math.MaxInt64, 0
}

// PackText encodes the data of events as a blob.
func PackText(events []Event) ([]byte, error) {
	texts := make([]string, len(events))
	for i, e := range events {
		texts[i] = e.Data
	}
	return cbor.Marshal(texts)
}

const (
	// eventHeadBytes is an upper bound of what an event takes in a blob beside its data, and a
	// blob beside its events.
	eventHeadBytes = 9
	// maxBlobEvents bounds the events of a blob. Decoded ones take 16 bytes each beside their data.
	maxBlobEvents = 1 << 14
)

// SplitText divides events into runs whose blobs have at most limit bytes each, and returns the
// number of events in each. An event that is larger by itself is a run of its own.
func SplitText(events []Event, limit int) (counts []int) {
	n, size := 0, eventHeadBytes
	for _, e := range events {
		more := eventHeadBytes + len(e.Data)
		if n > 0 && (size+more > limit || n == maxBlobEvents) {
			counts = append(counts, n)
			n, size = 0, eventHeadBytes
		}
		n++
		size += more
	}
	return append(counts, n)
}

// UnpackText decodes a blob of PackText. Error: ErrMalformed.
func UnpackText(blob []byte) ([]string, error) {
	var out []string
	if err := decoder.Unmarshal(blob, &out); err != nil {
		return nil, fmt.Errorf("%w: text: %w", ErrMalformed, err)
	}
	return out, nil
}

// VersionRuns returns the weights versions of the events, run-length encoded.
func VersionRuns(events []Event) []VersionRun {
	var out []VersionRun
	for _, e := range events {
		if n := len(out); n > 0 && out[n-1].Version == e.Version {
			out[n-1].Events++
			continue
		}
		out = append(out, VersionRun{Version: e.Version, Events: 1})
	}
	return out
}

// SplitAccepted returns the records that accept a batch, each of at most limit bytes.
func SplitAccepted(id, submissionID string, head Header, items []Item, limit int) []Accepted {
	parts := []Accepted{{Batch: id, SubmissionID: submissionID, Header: &head}}
	capacity := limit - len(head.Host) - len(head.Path) - len(head.Model) - 9*len(head.RequestCounts) - 2*overheadBytes
	free := capacity
	for _, item := range items {
		size := overheadBytes + len(item.ID) + len(item.Group) + len(item.RewardCallID)
		if size > free {
			parts = append(parts, Accepted{Batch: id, SubmissionID: submissionID})
			free = capacity
		}
		last := &parts[len(parts)-1]
		last.Items = append(last.Items, item)
		free -= size
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

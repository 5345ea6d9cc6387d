package batchpeer

import (
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
)

// outcomeOf tells an error of batchrun.Here on the wire. What isn't known to be without
// effect may take effect.
func outcomeOf(err error) peerpb.Outcome {
	switch {
	case err == nil:
		return peerpb.Outcome_OUTCOME_DONE
	case errors.Is(err, batchrun.ErrNotFound):
		return peerpb.Outcome_OUTCOME_NOT_FOUND
	case errors.Is(err, batchrun.ErrUnsure):
		return peerpb.Outcome_OUTCOME_UNSURE
	case errors.Is(err, batchrun.ErrNotRun):
		return peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return peerpb.Outcome_OUTCOME_UNKNOWN
}

func errorOf(o peerpb.Outcome) error {
	switch o {
	case peerpb.Outcome_OUTCOME_DONE:
		return nil
	case peerpb.Outcome_OUTCOME_NOT_FOUND:
		return batchrun.ErrNotFound
	case peerpb.Outcome_OUTCOME_UNSURE:
		return batchrun.ErrUnsure
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return batchrun.ErrNotRun
	}
	return batchrun.ErrUnknown
}

func encodeListing(l batchrun.Listing) *peerpb.ListReply {
	reply := &peerpb.ListReply{Part: uint32(l.Part), Total: int64(l.Total)}
	for i := range l.Listed {
		reply.Listed = append(reply.Listed, encodeSample(&l.Listed[i]))
	}
	for at, data := range l.Blobs {
		reply.Blobs = append(reply.Blobs, &peerpb.Blob{At: at, Data: data})
	}
	return reply
}

func encodeSample(s *batch.Sample) *peerpb.ListedSample {
	out := &peerpb.ListedSample{Id: s.ID, Dead: s.State == batch.Dead, Score: s.Score}
	if out.Dead {
		return out // it has no text
	}
	for _, segment := range s.Text.Segments {
		x := &peerpb.TextSegment{At: segment.At, Events: uint32(segment.Events)}
		for _, run := range segment.Versions {
			x.Versions = append(x.Versions, &peerpb.VersionRun{Version: run.Version, Events: uint32(run.Events)})
		}
		out.Segments = append(out.Segments, x)
	}
	return out
}

func decodeListing(reply *peerpb.ListReply) batchrun.Listing {
	l := batchrun.Listing{Part: int(reply.GetPart()), Total: int(reply.GetTotal()), Blobs: map[int64][]byte{}}
	for _, s := range reply.GetListed() {
		l.Listed = append(l.Listed, decodeSample(s))
	}
	for _, b := range reply.GetBlobs() {
		l.Blobs[b.GetAt()] = b.GetData()
	}
	return l
}

func decodeSample(s *peerpb.ListedSample) batch.Sample {
	out := batch.Sample{Item: batch.Item{ID: s.GetId()}, State: batch.Completed, Score: s.GetScore()}
	if s.GetDead() {
		out.State = batch.Dead
	}
	for _, x := range s.GetSegments() {
		segment := batch.Segment{At: x.GetAt(), Events: int(x.GetEvents())}
		for _, run := range x.GetVersions() {
			segment.Versions = append(segment.Versions, batch.VersionRun{Version: run.GetVersion(), Events: int(run.GetEvents())})
		}
		out.Text.Segments = append(out.Text.Segments, segment)
	}
	return out
}

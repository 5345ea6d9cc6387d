package batchpeer

import (
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
)

// outcomeOf encodes an error of batchrun.LocalHandler. Any error that does not exclude that the call
// takes effect later is OUTCOME_UNKNOWN.
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

// errorOf decodes an outcome. A value without a meaning here becomes batchrun.ErrUnknown.
func errorOf(outcome peerpb.Outcome) error {
	switch outcome {
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
	reply := &peerpb.ListReply{Part: uint32(l.Partition), Total: int64(l.Total)}
	for i := range l.Samples {
		reply.Listed = append(reply.Listed, encodeSample(&l.Samples[i]))
	}
	for offset, data := range l.Blobs {
		reply.Blobs = append(reply.Blobs, &peerpb.Blob{At: offset, Data: data})
	}
	return reply
}

func encodeSample(s *batch.Sample) *peerpb.ListedSample {
	out := &peerpb.ListedSample{Id: s.ID, Dead: s.State == batch.GivenUp, Score: s.Score}
	if out.Dead {
		return out // a dead sample has no text
	}
	for _, segment := range s.Text.Segments {
		encoded := &peerpb.TextSegment{At: segment.Offset, Events: uint32(segment.Events)}
		for _, run := range segment.Versions {
			encoded.Versions = append(encoded.Versions, &peerpb.VersionRun{Version: run.Version, Events: uint32(run.Events)})
		}
		out.Segments = append(out.Segments, encoded)
	}
	return out
}

func decodeListing(reply *peerpb.ListReply) batchrun.Listing {
	l := batchrun.Listing{Partition: int(reply.GetPart()), Total: int(reply.GetTotal()), Blobs: map[int64][]byte{}}
	for _, s := range reply.GetListed() {
		l.Samples = append(l.Samples, decodeSample(s))
	}
	for _, b := range reply.GetBlobs() {
		l.Blobs[b.GetAt()] = b.GetData()
	}
	return l
}

func decodeSample(s *peerpb.ListedSample) batch.Sample {
	out := batch.Sample{Item: batch.Item{ID: s.GetId()}, State: batch.Completed, Score: s.GetScore()}
	if s.GetDead() {
		out.State = batch.GivenUp
	}
	for _, encoded := range s.GetSegments() {
		segment := batch.Segment{Offset: encoded.GetAt(), Events: int(encoded.GetEvents())}
		for _, run := range encoded.GetVersions() {
			segment.Versions = append(segment.Versions, batch.VersionRun{Version: run.GetVersion(), Events: int(run.GetEvents())})
		}
		out.Text.Segments = append(out.Text.Segments, segment)
	}
	return out
}

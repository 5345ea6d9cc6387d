package peer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

const (
	// collectTimeout bounds the wait for all daemons' events.
	collectTimeout = 3 * time.Second
	// collectAtOnce is how many daemons are asked at a time.
	collectAtOnce = 8
	// maxCollect bounds the events of one daemon's answer.
	maxCollect = 10_000
	// batchEvents is how many events one message carries.
	batchEvents = 200
)

// Timeline implements the peer protocol.
func (p *server) Timeline(in *peerpb.TimelineRequest, stream peerpb.DRPCPeer_TimelineStream) error {
	batch := &peerpb.TimelineBatch{}
	if t := p.service.options.Timeline; t != nil {
		for chunk := range slices.Chunk(t.Query(filterOf(in)), batchEvents) {
			batch = &peerpb.TimelineBatch{}
			for _, e := range chunk {
				batch.Events = append(batch.Events, encodeEvent(e))
			}
			if err := stream.Send(batch); err != nil {
				return fmt.Errorf("peer: send events: %w", err)
			}
		}
	}
	return stream.Send(&peerpb.TimelineBatch{Last: true})
}

// CollectTimeline returns the matching events of this daemon and of all that it
// knows of, in one order. Missing names the daemons that didn't answer.
func (s *Service) CollectTimeline(ctx context.Context, f timeline.Filter) (events []timeline.Event, missing []ident.VM) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	lists, missing := askAll(s, func(vm ident.VM) ([]timeline.Event, error) { return s.askTimeline(ctx, vm, f) })
	if s.options.Timeline != nil {
		lists = append(lists, s.options.Timeline.Query(f))
	}
	return f.Newest(timeline.Merge(lists)), missing
}

// askAll asks each daemon that is known of, a few at a time. Missing names those
// that didn't answer.
func askAll[T any](s *Service, ask func(ident.VM) (T, error)) (answers []T, missing []ident.VM) {
	var mu sync.Mutex
	var asked sync.WaitGroup
	slots := make(chan struct{}, collectAtOnce)
	for _, vm := range s.known() {
		asked.Go(func() {
			slots <- struct{}{}
			answer, err := ask(vm)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, vm)
				return
			}
			answers = append(answers, answer)
		})
	}
	asked.Wait()
	slices.Sort(missing)
	return answers, missing
}

func (s *Service) known() []ident.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var vms []ident.VM
	for _, m := range s.members.Status(time.Now()) {
		vms = append(vms, m.VM)
	}
	return vms
}

func (s *Service) askTimeline(ctx context.Context, vm ident.VM, f timeline.Filter) ([]timeline.Event, error) {
	client, closeConn, err := s.client(ctx, vm)
	if err != nil {
		return nil, err
	}
	defer closeConn()
	stream, err := client.Timeline(withToken(ctx, s.options.Token), requestOf(f))
	if err != nil {
		return nil, fmt.Errorf("peer: timeline of %s: %w", vm, err)
	}
	var events []timeline.Event
	for {
		batch, err := stream.Recv()
		if err != nil {
			return nil, fmt.Errorf("%w: timeline of %s: %w", ErrTruncated, vm, err)
		}
		for _, e := range batch.GetEvents() {
			events = append(events, decodeEvent(e))
		}
		if batch.GetLast() {
			return events, nil
		}
		if len(events) > maxCollect {
			return nil, fmt.Errorf("peer: timeline of %s: more than %d events", vm, maxCollect)
		}
	}
}

func requestOf(f timeline.Filter) *peerpb.TimelineRequest {
	return &peerpb.TimelineRequest{
		Request: text(string(f.Request)), Team: text(string(f.Team)), Job: text(string(f.Job)),
		Sample: text(f.Sample), Since: uint64(f.Since), Limit: int32(min(f.Limit, maxCollect)),
	}
}

func filterOf(in *peerpb.TimelineRequest) timeline.Filter {
	return timeline.Filter{
		Request: ident.RequestID(in.GetRequest()), Team: ident.Team(in.GetTeam()), Job: ident.Job(in.GetJob()),
		Sample: in.GetSample(), Since: timeline.Stamp(in.GetSince()), Limit: int(min(in.GetLimit(), maxCollect)),
	}
}

func encodeEvent(e timeline.Event) *peerpb.TimelineEvent {
	return &peerpb.TimelineEvent{
		Hlc: uint64(e.HLC), Vm: text(string(e.VM)), Kind: text(e.Kind), Request: text(string(e.Request)),
		Team: text(string(e.Team)), Job: text(string(e.Job)), Step: int64(e.Step), Sample: text(e.Sample),
		Upstream: text(string(e.Upstream)), Version: int64(e.Version), Detail: text(e.Detail),
	}
}

func decodeEvent(e *peerpb.TimelineEvent) timeline.Event {
	return timeline.Event{
		HLC: timeline.Stamp(e.GetHlc()), VM: ident.VM(e.GetVm()), Kind: e.GetKind(),
		Request: ident.RequestID(e.GetRequest()), Team: ident.Team(e.GetTeam()), Job: ident.Job(e.GetJob()),
		Step: ident.Step(e.GetStep()), Sample: e.GetSample(), Upstream: ident.Upstream(e.GetUpstream()),
		Version: ident.Version(e.GetVersion()), Detail: e.GetDetail(),
	}
}

// text replaces what isn't UTF-8: a caller's request ID may be any bytes, and
// protobuf would refuse the whole answer for it.
func text(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

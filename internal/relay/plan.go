package relay

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// minUpstreamsPerShard is the least number of upstreams of a service that a shard has on
// average, if the service has as many: enough that a daemon keeps some during the loss of a
// data centre or a release.
const minUpstreamsPerShard = 16

// replicaCount returns the number of shards that each upstream of a service is in.
func replicaCount(upstreams, shards int) int {
	if upstreams == 0 {
		return 0
	}
	return min(shards, max(1, (minUpstreamsPerShard*shards+upstreams-1)/upstreams))
}

// assigner divides upstreams among shards by rendezvous hashing: a change of the upstreams or
// of their replica count moves few other upstreams. It is not safe for concurrent use.
type assigner struct {
	shards      int                   // number of them
	assignments map[string]assignment // by upstream ID
}

// assignment is an upstream as it is published.
type assignment struct {
	endpoint     endpoint
	value        []byte   // the encoded endpoint
	shardRanking []uint16 // all shards; the upstream is in the first replicaCount of them
}

func newAssigner(shards int) *assigner {
	return &assigner{shards: shards, assignments: map[string]assignment{}}
}

// assign returns the upstream records of each shard by key, given the upstreams by service.
// Leaving upstreams take no new work and are in no shard.
func (a *assigner) assign(services map[string][]registry.Upstream) ([]map[string][]byte, error) {
	out := make([]map[string][]byte, a.shards)
	for i := range out {
		out[i] = map[string][]byte{}
	}
	assignments := map[string]assignment{}
	for _, upstreams := range services {
		accepting := slices.DeleteFunc(slices.Clone(upstreams), func(u registry.Upstream) bool { return u.Leaving })
		replicas := replicaCount(len(accepting), a.shards)
		for _, u := range accepting {
			x, err := a.assignmentOf(u)
			if err != nil {
				return nil, err
			}
			assignments[u.ID] = x
			for _, shard := range x.shardRanking[:replicas] {
				out[shard][upstreamPrefix+u.ID] = x.value
			}
		}
	}
	a.assignments = assignments
	return out, nil
}

// assignmentOf returns the assignment of an upstream, the known one if it hasn't changed.
func (a *assigner) assignmentOf(u registry.Upstream) (assignment, error) {
	e := endpointOf(u)
	known, ok := a.assignments[u.ID]
	if ok && known.endpoint == e {
		return known, nil
	}
	value, err := cbor.Marshal(e)
	if err != nil {
		return assignment{}, err
	}
	if !ok {
		known.shardRanking = a.rankShards(u.ID)
	}
	return assignment{e, value, known.shardRanking}, nil
}

// rankShards returns the shards in the order of their hash with an upstream's ID, highest first.
func (a *assigner) rankShards(id string) []uint16 {
	weights := make([]uint64, a.shards)
	order := make([]uint16, a.shards)
	for i := range order {
		weights[i], order[i] = spread.Hash(id, strconv.Itoa(i)), uint16(i)
	}
	slices.SortFunc(order, func(x, y uint16) int { return cmp.Compare(weights[y], weights[x]) })
	return order
}

// shardOf returns the shard that a VM's daemon reads.
func shardOf(vm string, shards int) int { return int(spread.Hash(vm) % uint64(shards)) }

// change is a record to write; one without a value deletes the key.
type change struct {
	key   string
	value []byte
}

// diff returns the changes that turn the published values into the desired ones, sorted by
// key: first the deleted keys, then the others.
func diff(published, desired map[string][]byte) []change {
	var out []change
	for _, key := range slices.Sorted(maps.Keys(published)) {
		if _, ok := desired[key]; !ok {
			out = append(out, change{key: key})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(desired)) {
		if old, ok := published[key]; !ok || !bytes.Equal(old, desired[key]) {
			out = append(out, change{key, desired[key]})
		}
	}
	return out
}

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

// sliceUpstreams is how many upstreams of a service a slice has at least, in the mean of the
// slices: enough that a data centre's loss or a release leaves a daemon some.
const sliceUpstreams = 16

// copies is in how many slices each upstream of a service stands.
func copies(upstreams, slices int) int {
	if upstreams == 0 {
		return 0
	}
	return min(slices, max(1, (sliceUpstreams*slices+upstreams-1)/upstreams))
}

// assigner divides upstreams among slices by rendezvous hashing: a change of the upstreams
// or of the number of their copies moves few others. Not safe for concurrent use.
type assigner struct {
	slices int
	known  map[string]assigned // by upstream
}

// assigned is an upstream as it is published.
type assigned struct {
	endpoint endpoint
	value    []byte
	ranks    []uint16 // the slices, best first
}

func newAssigner(slices int) *assigner {
	return &assigner{slices: slices, known: map[string]assigned{}}
}

// assign returns the records of each slice by key. Leaving upstreams take no new work and
// stand in none.
func (a *assigner) assign(services map[string][]registry.Upstream) ([]map[string][]byte, error) {
	out := make([]map[string][]byte, a.slices)
	for i := range out {
		out[i] = map[string][]byte{}
	}
	known := map[string]assigned{}
	for _, list := range services {
		live := slices.DeleteFunc(slices.Clone(list), func(u registry.Upstream) bool { return u.Leaving })
		n := copies(len(live), a.slices)
		for _, u := range live {
			x, err := a.of(u)
			if err != nil {
				return nil, err
			}
			known[u.ID] = x
			for _, slice := range x.ranks[:n] {
				out[slice][upstreamPrefix+u.ID] = x.value
			}
		}
	}
	a.known = known
	return out, nil
}

func (a *assigner) of(u registry.Upstream) (assigned, error) {
	e := endpointOf(u)
	x, ok := a.known[u.ID]
	if ok && x.endpoint == e {
		return x, nil
	}
	value, err := cbor.Marshal(e)
	if err != nil {
		return assigned{}, err
	}
	if !ok {
		x.ranks = a.ranked(u.ID)
	}
	return assigned{e, value, x.ranks}, nil
}

func (a *assigner) ranked(id string) []uint16 {
	weights := make([]uint64, a.slices)
	order := make([]uint16, a.slices)
	for i := range order {
		weights[i], order[i] = spread.Hash(id, strconv.Itoa(i)), uint16(i)
	}
	slices.SortFunc(order, func(x, y uint16) int { return cmp.Compare(weights[y], weights[x]) })
	return order
}

// sliceOf is the slice that a VM's daemon reads.
func sliceOf(vm string, slices int) int { return int(spread.Hash(vm) % uint64(slices)) }

// change is a record to write; without a value it drops the key.
type change struct {
	key   string
	value []byte
}

// diff returns what turns the published values of some keys into the wanted ones, by key.
func diff(published, wanted map[string][]byte) []change {
	var out []change
	for _, key := range slices.Sorted(maps.Keys(published)) {
		if _, ok := wanted[key]; !ok {
			out = append(out, change{key: key})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		if old, ok := published[key]; !ok || !bytes.Equal(old, wanted[key]) {
			out = append(out, change{key, wanted[key]})
		}
	}
	return out
}

package capacity

import (
	"cmp"
	"slices"
	"strings"
)

// Quantity is one number of the samples.
type Quantity struct {
	Name, Unit string
	Of         func(Sample) float64
	Resolution func(Sample) float64 // what the instrument can't tell apart; nil: nothing
}

// headerBytes is what TCP and IP add to a segment, and to the ACK that answers it.
const headerBytes = 52

// cpuStep is the grain of the system's processor time in seconds.
const cpuStep = 1.0 / ticksPerSecond

var (
	cpuQuantity = Quantity{"processor", "% of a core", func(s Sample) float64 { return 100 * s.CPU / s.Seconds },
		func(s Sample) float64 { return 100 * cpuStep / s.Seconds }}
	rssQuantity   = Quantity{"resident", "MB", func(s Sample) float64 { return s.RSS / 1e6 }, nil}
	allocQuantity = Quantity{"allocated", "KB/s", func(s Sample) float64 { return s.Alloc / s.Seconds / 1e3 }, nil}
)

// logReads counts reads and appends; a read ends with the next record.
var logReads = Quantity{"calls of the log", "1/s", func(s Sample) float64 { return float64(s.Traffic[meterLog].Exchanges) / s.Seconds }, nil}

var polls = Quantity{"polls", "1/s", func(s Sample) float64 { return float64(s.Traffic[meterLoad].Exchanges) / s.Seconds }, nil}

var (
	milliseconds = perDone("processor", "ms", func(s Sample) float64 { return 1e3 * s.CPU })
	megabytes    = perDone("allocated", "MB", func(s Sample) float64 { return s.Alloc / 1e6 })
)

var heapQuantity = Quantity{"retained", "MB", func(s Sample) float64 { return s.Heap / 1e6 }, nil}

func bytesIn(meters ...string) Quantity {
	return Quantity{"received", "B/s", func(s Sample) float64 { return s.rate(meters, func(t Traffic) int64 { return t.In }) }, nil}
}

func bytesOut(meters ...string) Quantity {
	return Quantity{"sent", "B/s", func(s Sample) float64 { return s.rate(meters, func(t Traffic) int64 { return t.Out }) }, nil}
}

// wireOf names onTheWire.
func wireOf(meters ...string) string { return strings.Join(meters, ", ") + ": both ways with headers" }

// onTheWire counts both ways with a header and an ACK for each segment.
func onTheWire(meters ...string) Quantity {
	return Quantity{wireOf(meters...), "B/s", func(s Sample) float64 {
		return s.rate(meters, func(t Traffic) int64 { return t.In + t.Out + 2*headerBytes*t.Segments })
	}, nil}
}

func perDone(name, unit string, of func(Sample) float64) Quantity {
	return Quantity{name, unit, func(s Sample) float64 { return of(s) / max(s.Done, 1) }, nil}
}

func (s Sample) rate(meters []string, of func(Traffic) int64) float64 {
	var sum int64
	for _, name := range meters {
		sum += of(s.Traffic[name])
	}
	return float64(sum) / s.Seconds
}

// measures are what the page shows of each series, in the page's order.
var measures = []struct {
	series string
	list   []Quantity
}{
	{"peers, idle", []Quantity{cpuQuantity, rssQuantity, allocQuantity, bytesIn(meterPeers), bytesOut(meterPeers), onTheWire(meterPeers)}},
	{"peers, at work", []Quantity{cpuQuantity, rssQuantity, allocQuantity, bytesIn(meterPeers), bytesOut(meterPeers), onTheWire(meterPeers)}},
	{"upstreams, idle", []Quantity{cpuQuantity, rssQuantity, allocQuantity, bytesIn(meterLoad), bytesOut(meterLoad), onTheWire(meterLoad), onTheWire(meterLog)}},
	{"upstreams, at work", []Quantity{cpuQuantity, rssQuantity, allocQuantity, onTheWire(meterLoad)}},
	{"data centre of 30 daemons, upstreams", []Quantity{
		cpuQuantity, rssQuantity, allocQuantity, polls, onTheWire(meterLoad), onTheWire(meterPeers), onTheWire(meterLog), logReads,
	}},
	{"configuration entries", []Quantity{
		rssQuantity, perDone("processor a change", "ms", func(s Sample) float64 { return 1e3 * s.CPU }),
		perDone("allocated a change", "KB", func(s Sample) float64 { return s.Alloc / 1e3 }),
	}},
	{"state of the configuration, upstreams", []Quantity{
		heapQuantity,
		{"marshalled", "KB", func(s Sample) float64 { return s.Done / 1e3 }, nil},
	}},
	{"keys held", []Quantity{heapQuantity}},
	{"events of the time line", []Quantity{heapQuantity}},
	{"change to the state, upstreams", []Quantity{
		perDone("processor a change", "ms", func(s Sample) float64 { return 1e3 * s.CPU }),
		perDone("allocated a change", "MB", func(s Sample) float64 { return s.Alloc / 1e6 }),
	}},
	{"snapshot of the state, upstreams", []Quantity{milliseconds, megabytes}},
	{"state taken from a peer, upstreams", []Quantity{milliseconds, megabytes}},
	{"samples of a step", []Quantity{
		{"processor", "s", func(s Sample) float64 { return s.CPU }, func(Sample) float64 { return cpuStep }},
		{"time until whole", "s", func(s Sample) float64 { return s.Seconds }, nil},
		rssQuantity, {"allocated", "MB", func(s Sample) float64 { return s.Alloc / 1e6 }, nil},
		{"objects allocated", "thousand", func(s Sample) float64 { return s.Objects / 1e3 }, nil},
	}},
	{"requests a second", []Quantity{cpuQuantity, rssQuantity, allocQuantity}},
	{"chunks a second", []Quantity{cpuQuantity, rssQuantity, allocQuantity}},
	{"own claims a second", []Quantity{cpuQuantity, allocQuantity, onTheWire(meterLog)}},
	{"others' claim records a second", []Quantity{cpuQuantity, allocQuantity, onTheWire(meterLog), logReads}},
	{"others' lease records a second", []Quantity{cpuQuantity, allocQuantity, onTheWire(meterLog), logReads}},
	{"VMs on the list", []Quantity{
		perDone("bytes a read", "KB", func(s Sample) float64 { return onTheWire(meterVMs).Of(s) * s.Seconds / 1e3 }),
		{"reads in the first 10 s", "", func(s Sample) float64 { return s.Done }, nil}, rssQuantity,
	}},
}

// points returns a series' samples of one run by size.
func points(samples []Sample, series string) []Sample {
	var list []Sample
	for _, s := range samples {
		if s.Series == series {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Sample) int { return cmp.Compare(a.Size, b.Size) })
	return list
}

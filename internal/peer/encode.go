package peer

import (
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// Bounds of a digest, on both sides.
const (
	maxNames   = 1 << 16 // names in a stream's dictionary
	maxName    = 256     // bytes of one name
	maxMarks   = 1 << 12
	maxDeaths  = 1 << 6 // of one mark
	maxServing = 1 << 17
	maxKnown   = 1 << 10 // daemons named in one digest
)

// inFlightShare is the threshold of a change worth a message: a count is sent
// anew once it is off by this share of what was last said, or by one if that
// is more. From and to zero is always sent.
const inFlightShare = 8

// Encoder turns snapshots into the digests of one stream, each holding only
// what changed. Not safe for concurrent use.
type Encoder struct {
	names     map[ident.Upstream]uint32
	inFlight  map[ident.Upstream]int
	leaving   []ident.Upstream
	down      []ident.Upstream
	marks     map[poison.Fingerprint]poison.Mark
	serving   map[ident.Upstream]map[ident.Model]ident.Version
	published map[ident.Model]ident.Version
	config    ConfigPoint
	draining  bool
	told      map[ident.VM]membership.Contact
}

// NewEncoder returns the encoder of a new stream.
func NewEncoder() *Encoder {
	e := &Encoder{names: map[ident.Upstream]uint32{}}
	e.forget()
	return e
}

// forget begins a full digest: nothing was said yet, but for names.
func (e *Encoder) forget() {
	e.inFlight = map[ident.Upstream]int{}
	e.leaving, e.down = nil, nil
	e.marks = map[poison.Fingerprint]poison.Mark{}
	e.serving = map[ident.Upstream]map[ident.Model]ident.Version{}
	e.published = map[ident.Model]ident.Version{}
	e.config = ConfigPoint{}
	e.draining = false
	e.told = map[ident.VM]membership.Contact{}
}

// Detail says how much a digest states.
type Detail int

// The details, least first.
const (
	Delta Detail = iota // what changed past its threshold
	Exact               // whatever changed at all
	Full                // everything, as at a stream's start
)

// Encode returns the next digest of the stream, without its Seq, and whether it
// says anything new. One that doesn't may be dropped or sent as a heartbeat.
func (e *Encoder) Encode(s Snapshot, detail Detail) (d *peerpb.Digest, news bool) {
	full := detail == Full
	d = &peerpb.Digest{Hlc: uint64(s.HLC), Full: full, Draining: s.Draining}
	if full {
		d.ResetNames = e.dropStaleNames(s)
		e.forget()
	}
	e.encodeInFlight(d, s.Dispatch.InFlight, detail)
	d.Leaving = e.encodeSet(d, &e.leaving, s.Dispatch.Leaving)
	d.Down = e.encodeSet(d, &e.down, s.Dispatch.Down)
	e.encodeMarks(d, s.Dispatch.Poison)
	e.encodeServing(d, s.Dispatch.Serving)
	e.encodePublished(d, s.Published)
	e.encodeKnown(d, s.Known)
	if s.Config != e.config {
		e.config = s.Config
		d.Config = &peerpb.ConfigPoint{Through: int64(s.Config.Through), Version: int64(s.Config.Version)}
	}
	news = full || e.draining != s.Draining || saysSomething(d)
	e.draining = s.Draining
	return d, news
}

func saysSomething(d *peerpb.Digest) bool {
	return len(d.InFlight) > 0 || d.Leaving != nil || d.Down != nil ||
		len(d.Poison) > 0 || len(d.PoisonGone) > 0 || len(d.Serving) > 0 ||
		len(d.Published) > 0 || len(d.Known) > 0 || len(d.KnownGone) > 0 || d.Config != nil
}

// dropStaleNames empties the dictionary once most of it must be names of
// upstreams that are gone, so that replaced VMs don't make it grow for ever.
func (e *Encoder) dropStaleNames(s Snapshot) bool {
	inUse := len(s.Dispatch.InFlight) + len(s.Dispatch.Serving)
	if len(e.names) <= 64+4*inUse {
		return false
	}
	e.names = map[ident.Upstream]uint32{}
	return true
}

// index returns a name's number and adds the name to the digest when it is new.
func (e *Encoder) index(d *peerpb.Digest, name ident.Upstream) (uint32, bool) {
	if i, ok := e.names[name]; ok {
		return i, true
	}
	if len(e.names) >= maxNames || len(name) > maxName || !utf8.ValidString(string(name)) {
		return 0, false
	}
	i := uint32(len(e.names))
	e.names[name] = i
	d.Names = append(d.Names, string(name))
	return i, true
}

func (e *Encoder) encodeInFlight(d *peerpb.Digest, counts map[ident.Upstream]int, detail Detail) {
	for _, name := range unionKeys(counts, e.inFlight) {
		now, before := counts[name], e.inFlight[name]
		if now == before || (detail == Delta && !worthSaying(before, now)) {
			continue
		}
		i, ok := e.index(d, name)
		if !ok {
			continue
		}
		d.InFlight = append(d.InFlight, i, uint32(max(now, 0)))
		setOrDelete(e.inFlight, name, now)
	}
}

func worthSaying(before, now int) bool {
	if (before == 0) != (now == 0) {
		return true
	}
	return now != before && max(now-before, before-now) >= max(1, before/inFlightShare)
}

// encodeSet returns nil when the set is as it was said before.
func (e *Encoder) encodeSet(d *peerpb.Digest, said *[]ident.Upstream, names []ident.Upstream) *peerpb.IndexSet {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, *said) {
		return nil
	}
	*said = sorted
	set := &peerpb.IndexSet{}
	for _, name := range sorted {
		if i, ok := e.index(d, name); ok {
			set.Index = append(set.Index, i)
		}
	}
	return set
}

func (e *Encoder) encodeMarks(d *peerpb.Digest, marks []poison.Mark) {
	current := make(map[poison.Fingerprint]bool, len(marks))
	for _, m := range marks {
		current[m.Fingerprint] = true
		if before, ok := e.marks[m.Fingerprint]; ok && sameMark(before, m) {
			continue
		}
		if len(e.marks) >= maxMarks || len(m.Deaths) > maxDeaths {
			continue
		}
		m.Deaths = slices.Clone(m.Deaths)
		e.marks[m.Fingerprint] = m
		d.Poison = append(d.Poison, encodeMark(m))
	}
	for _, f := range slices.Sorted(maps.Keys(e.marks)) {
		if !current[f] {
			delete(e.marks, f)
			d.PoisonGone = append(d.PoisonGone, uint64(f))
		}
	}
}

func (e *Encoder) encodeServing(d *peerpb.Digest, serving map[ident.Upstream]map[ident.Model]ident.Version) {
	for _, up := range unionKeys(serving, e.serving) {
		if maps.Equal(serving[up], e.serving[up]) {
			continue
		}
		i, ok := e.index(d, up)
		if !ok {
			continue
		}
		said := maps.Clone(e.serving[up])
		if said == nil {
			said = map[ident.Model]ident.Version{}
		}
		for _, model := range unionKeys(serving[up], said) {
			version := serving[up][model]
			if version == said[model] {
				continue
			}
			d.Serving = append(d.Serving, &peerpb.Serving{Upstream: i, Model: string(model), Version: int64(version)})
			setOrDelete(said, model, version)
		}
		e.serving[up] = said
		if len(said) == 0 {
			delete(e.serving, up)
		}
	}
}

func (e *Encoder) encodePublished(d *peerpb.Digest, published map[ident.Model]ident.Version) {
	for _, model := range unionKeys(published, e.published) {
		version := published[model]
		if version == e.published[model] {
			continue
		}
		setOrDelete(e.published, model, version)
		d.Published = append(d.Published, &peerpb.ModelVersion{Model: string(model), Version: int64(version)})
	}
}

// encodeKnown names each daemon once, and again when it came back elsewhere.
func (e *Encoder) encodeKnown(d *peerpb.Digest, known []membership.Contact) {
	told := make(map[ident.VM]membership.Contact, len(known))
	for _, c := range known[:min(len(known), maxKnown)] {
		told[c.VM] = c
		if e.told[c.VM] == c {
			continue
		}
		d.Known = append(d.Known, &peerpb.Known{
			Vm: string(c.VM), DataCentre: string(c.DataCentre), Address: c.Address,
		})
	}
	for _, vm := range slices.Sorted(maps.Keys(e.told)) {
		if _, still := told[vm]; !still {
			d.KnownGone = append(d.KnownGone, string(vm))
		}
	}
	e.told = told
}

// setOrDelete keeps zeros out of a map of what was said.
func setOrDelete[K comparable, V ~int | ~int64](m map[K]V, key K, value V) {
	if value == 0 {
		delete(m, key)
		return
	}
	m[key] = value
}

// unionKeys returns the keys of both maps, sorted, so that the same snapshots
// always give the same bytes.
func unionKeys[K ~string, V, W any](a map[K]V, b map[K]W) []K {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

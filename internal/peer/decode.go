package peer

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// ErrBadDigest says that a peer's digest can't be one of its stream. The
// stream is given up; a new one starts with a full digest.
var ErrBadDigest = errors.New("peer: bad digest")

// Decoder puts a stream's digests together again. Not safe for concurrent use.
type Decoder struct {
	names     []ident.Upstream
	inFlight  map[ident.Upstream]int
	leaving   []ident.Upstream
	down      []ident.Upstream
	marks     map[poison.Fingerprint]poison.Mark
	serving   map[ident.Upstream]map[ident.Model]ident.Version
	served    int // entries in serving
	published map[ident.Model]ident.Version
	config    ConfigPoint
	known     map[ident.VM]membership.Contact
	begun     bool
	said      Snapshot // copies handed out last, kept where nothing changed
}

// NewDecoder returns the decoder of a new stream.
func NewDecoder() *Decoder {
	c := &Decoder{}
	c.forget()
	return c
}

func (c *Decoder) forget() {
	c.inFlight = map[ident.Upstream]int{}
	c.leaving, c.down = nil, nil
	c.marks = map[poison.Fingerprint]poison.Mark{}
	c.serving = map[ident.Upstream]map[ident.Model]ident.Version{}
	c.served = 0
	c.published = map[ident.Model]ident.Version{}
	c.config = ConfigPoint{}
	c.known = map[ident.VM]membership.Contact{}
}

// Decode takes in the next digest and returns all that the peer has said so
// far, as copies. Error: ErrBadDigest; the decoder is of no use after it.
func (c *Decoder) Decode(d *peerpb.Digest) (Snapshot, error) {
	if !c.begun && !d.GetFull() {
		return Snapshot{}, fmt.Errorf("%w: the first isn't full", ErrBadDigest)
	}
	c.begun = true
	if d.GetFull() {
		c.forget()
	}
	if d.GetResetNames() {
		c.names = nil
	}
	steps := []func(*peerpb.Digest) error{
		c.decodeNames, c.decodeInFlight, c.decodeSets, c.decodeMarks, c.decodeServing, c.decodePublished, c.decodeKnown,
	}
	for _, step := range steps {
		if err := step(d); err != nil {
			return Snapshot{}, err
		}
	}
	if p := d.GetConfig(); p != nil {
		c.config = ConfigPoint{ident.Offset(p.GetThrough()), ident.Offset(p.GetVersion())}
	}
	return c.snapshot(d), nil
}

func (c *Decoder) decodeNames(d *peerpb.Digest) error {
	if len(c.names)+len(d.GetNames()) > maxNames {
		return fmt.Errorf("%w: more than %d names", ErrBadDigest, maxNames)
	}
	for _, name := range d.GetNames() {
		if len(name) > maxName {
			return fmt.Errorf("%w: a name of %d bytes", ErrBadDigest, len(name))
		}
		c.names = append(c.names, ident.Upstream(name))
	}
	return nil
}

func (c *Decoder) name(i uint32) (ident.Upstream, error) {
	if int64(i) >= int64(len(c.names)) {
		return "", fmt.Errorf("%w: name %d of %d", ErrBadDigest, i, len(c.names))
	}
	return c.names[i], nil
}

func (c *Decoder) decodeInFlight(d *peerpb.Digest) error {
	pairs := d.GetInFlight()
	if len(pairs)%2 != 0 {
		return fmt.Errorf("%w: in-flight counts aren't pairs", ErrBadDigest)
	}
	for pair := range slices.Chunk(pairs, 2) {
		name, err := c.name(pair[0])
		if err != nil {
			return err
		}
		setOrDelete(c.inFlight, name, int(pair[1]))
	}
	return nil
}

func (c *Decoder) decodeSets(d *peerpb.Digest) error {
	if err := c.decodeSet(&c.leaving, d.GetLeaving()); err != nil {
		return err
	}
	return c.decodeSet(&c.down, d.GetDown())
}

func (c *Decoder) decodeSet(into *[]ident.Upstream, set *peerpb.IndexSet) error {
	if set == nil {
		return nil
	}
	if len(set.GetIndex()) > maxNames {
		return fmt.Errorf("%w: a set of %d", ErrBadDigest, len(set.GetIndex()))
	}
	names := make([]ident.Upstream, 0, len(set.GetIndex()))
	for _, i := range set.GetIndex() {
		name, err := c.name(i)
		if err != nil {
			return err
		}
		names = append(names, name)
	}
	*into = names
	return nil
}

func (c *Decoder) decodeMarks(d *peerpb.Digest) error {
	for _, f := range d.GetPoisonGone() {
		delete(c.marks, poison.Fingerprint(f))
	}
	for _, m := range d.GetPoison() {
		if len(m.GetDeaths()) > maxDeaths {
			return fmt.Errorf("%w: a mark with %d deaths", ErrBadDigest, len(m.GetDeaths()))
		}
		c.marks[poison.Fingerprint(m.GetFingerprint())] = decodeMark(m)
	}
	if len(c.marks) > maxMarks {
		return fmt.Errorf("%w: more than %d marks", ErrBadDigest, maxMarks)
	}
	return nil
}

func (c *Decoder) decodeServing(d *peerpb.Digest) error {
	for _, s := range d.GetServing() {
		name, err := c.name(s.GetUpstream())
		if err != nil {
			return err
		}
		if c.serving[name] == nil {
			c.serving[name] = map[ident.Model]ident.Version{}
		}
		models := c.serving[name]
		before := len(models)
		setOrDelete(models, ident.Model(s.GetModel()), ident.Version(s.GetVersion()))
		c.served += len(models) - before
		if len(models) == 0 {
			delete(c.serving, name)
		}
	}
	if c.served > maxServing {
		return fmt.Errorf("%w: more than %d versions", ErrBadDigest, maxServing)
	}
	return nil
}

func (c *Decoder) decodePublished(d *peerpb.Digest) error {
	for _, m := range d.GetPublished() {
		setOrDelete(c.published, ident.Model(m.GetModel()), ident.Version(m.GetVersion()))
	}
	if len(c.published) > maxNames {
		return fmt.Errorf("%w: more than %d models", ErrBadDigest, maxNames)
	}
	return nil
}

func (c *Decoder) decodeKnown(d *peerpb.Digest) error {
	for _, vm := range d.GetKnownGone() {
		delete(c.known, ident.VM(vm))
	}
	for _, k := range d.GetKnown() {
		vm := ident.VM(k.GetVm())
		c.known[vm] = membership.Contact{VM: vm, DataCentre: ident.DataCentre(k.GetDataCentre()), Address: k.GetAddress()}
	}
	if len(c.known) > maxKnown {
		return fmt.Errorf("%w: more than %d daemons", ErrBadDigest, maxKnown)
	}
	return nil
}

// snapshot copies what the digest changed, since the receiver keeps it while
// later digests change ours. The rest is the copy handed out before.
func (c *Decoder) snapshot(d *peerpb.Digest) Snapshot {
	s := &c.said
	s.Config = c.config
	s.Draining = d.GetDraining()
	s.HLC = timeline.Stamp(d.GetHlc())
	full := d.GetFull()
	if full || len(d.GetPublished()) > 0 {
		s.Published = maps.Clone(c.published)
	}
	if full || len(d.GetInFlight()) > 0 {
		s.Dispatch.InFlight = maps.Clone(c.inFlight)
	}
	if full || d.GetLeaving() != nil {
		s.Dispatch.Leaving = slices.Clone(c.leaving)
	}
	if full || d.GetDown() != nil {
		s.Dispatch.Down = slices.Clone(c.down)
	}
	if full || len(d.GetServing()) > 0 {
		s.Dispatch.Serving = c.copyServing()
	}
	if full || len(d.GetPoison()) > 0 || len(d.GetPoisonGone()) > 0 {
		s.Dispatch.Poison = c.copyMarks()
	}
	if full || len(d.GetKnown()) > 0 || len(d.GetKnownGone()) > 0 {
		s.Known = make([]membership.Contact, 0, len(c.known))
		for _, vm := range slices.Sorted(maps.Keys(c.known)) {
			s.Known = append(s.Known, c.known[vm])
		}
	}
	return *s
}

func (c *Decoder) copyServing() map[ident.Upstream]map[ident.Model]ident.Version {
	serving := make(map[ident.Upstream]map[ident.Model]ident.Version, len(c.serving))
	for name, models := range c.serving {
		serving[name] = maps.Clone(models)
	}
	return serving
}

func (c *Decoder) copyMarks() []poison.Mark {
	marks := make([]poison.Mark, 0, len(c.marks))
	for _, f := range slices.Sorted(maps.Keys(c.marks)) {
		marks = append(marks, c.marks[f])
	}
	return marks
}

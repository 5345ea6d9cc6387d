package config

import (
	"reflect"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// What an absent setting means.
const (
	DefaultProductionReserve = 0.3
	DefaultStalenessWeight   = 0.5
	DefaultModelMaxTokens    = 4096
	DefaultRouteTimeout      = 30_000 // milliseconds
	DefaultWeight            = 1.0
	DefaultMaxQueue          = 1000
	DefaultMaxBodyBytes      = 1 << 20
)

// presetter sets the defaults of fields for which an explicit 0 has a meaning
// of its own. It runs before a value is decoded.
type presetter interface{ preset() }

// filler replaces zeros that have no meaning of their own by the default. It
// runs after a value was decoded.
type filler interface{ fill() }

func (f *Fleet) preset() { f.ProductionReserve = DefaultProductionReserve }

func (t *Team) preset() {
	t.StalenessWeight = DefaultStalenessWeight
	t.Limits.fill()
}

func (m *Model) fill() { fillZero(&m.MaxTokens, DefaultModelMaxTokens) }

func (r *Route) fill() { fillZero(&r.TimeoutMillis, DefaultRouteTimeout) }

func (l *Limits) fill() {
	fillZero(&l.Weight, DefaultWeight)
	fillZero(&l.MaxQueue, DefaultMaxQueue)
	fillZero(&l.MaxBodyBytes, DefaultMaxBodyBytes)
}

func fillZero[T int | int64 | float64](v *T, to T) {
	if *v == 0 {
		*v = to
	}
}

func defaultFleet() Fleet { return newValue(reflect.TypeFor[Fleet]()).Interface().(Fleet) }

func defaultTeam() Team { return newValue(reflect.TypeFor[Team]()).Interface().(Team) }

func defaultTree() *Tree {
	return &Tree{Fleet: defaultFleet(), Teams: map[ident.Team]Team{}}
}

// newValue returns a settable value with the defaults of its type. Its maps are
// empty, not nil, so that equal trees have equal JSON.
func newValue(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	presetValue(v)
	fillValue(v)
	return v
}

func presetValue(v reflect.Value) {
	if p, ok := v.Addr().Interface().(presetter); ok {
		p.preset()
	}
}

func fillValue(v reflect.Value) {
	if f, ok := v.Addr().Interface().(filler); ok {
		f.fill()
	}
	if v.Kind() != reflect.Struct {
		return
	}
	for i := range v.NumField() {
		field := v.Field(i)
		if field.Kind() == reflect.Map && field.IsNil() && field.CanSet() {
			field.Set(reflect.MakeMap(field.Type()))
		}
	}
}

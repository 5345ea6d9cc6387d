package config

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// canonicalRecords are documents that the log holds, written by encoding/json.
func canonicalRecords() [][]byte {
	bound := int64(3)
	team := defaultTeam()
	team.Keys["k"] = Key{SHA256: strings.Repeat("0a", 32), Role: RoleTrainer}
	team.Models["m"] = Model{Group: "g", MaxTokens: 9}
	team.Routes["r"] = Route{Path: "/r<&>", Methods: []string{"GET"}, Group: "s", TimeoutMillis: 5}
	team.Jobs["j"] = Job{Model: "m", Scorer: "s", GroupSize: 2, StalenessBound: &bound}
	fleet := defaultFleet()
	fleet.Groups["g"] = Group{Kind: KindEngine, Upstreams: map[ident.Upstream]Upstream{"e1": {Address: "10.0.0.1:1", ChecksFencing: true}, "e2": {}}}
	value, _ := json.Marshal(fleet)
	records := []Record{
		{Change: &Change{ID: "a", Branch: FleetBranch, Ops: []Op{{Path: "x", Value: value}, {Path: "y", Delete: true}}, Author: "ayu"}},
		{Snapshot: &Snapshot{
			Covers: 7, Version: 6, Tree: Tree{Fleet: fleet, Teams: map[ident.Team]Team{"t": team}}, Branches: map[Branch]ident.Offset{FleetBranch: 5},
			Verdicts: []Verdict{{ChangeID: "a", Accepted: true, Version: 5}}, History: []HistoryEntry{{Version: 5, At: time.Unix(9, 5).UTC(), Paths: []string{"x"}}},
		}},
	}
	var out [][]byte
	for _, r := range records {
		data, _ := json.Marshal(r) // plain values
		out = append(out, data)
	}
	return out
}

// compare decodes both ways; what the quick way takes, the strict way must take
// for the very same value.
func compare(g *WithT, raw []byte) (taken bool) {
	var quick, strict Record
	if !decodeCanonical(raw, reflect.ValueOf(&quick).Elem()) {
		g.Expect(quick).To(Equal(Record{}), "left alone")
		return false
	}
	err := decodeValue(raw, "record", reflect.ValueOf(&strict).Elem())
	g.Expect(err).To(BeNil(), "%s", raw)
	g.Expect(reflect.DeepEqual(quick, strict)).To(BeTrue(), "%s", raw)
	return true
}

func TestCanonicalTakesWhatWeWrite(t *testing.T) {
	g := NewWithT(t)
	for _, raw := range canonicalRecords() {
		g.Expect(compare(g, raw)).To(BeTrue(), "%s", raw)
	}
}

// The quick decoder must not let pass what the strict one refuses or changes: two
// daemons of different builds would fold the same record to different states.
func TestCanonicalLeavesTheRestToTheStrict(t *testing.T) {
	g := NewWithT(t)
	changes := []struct{ from, to string }{
		{`"id"`, `"ID"`}, {`"author":"ayu"`, `"author":null`}, {`"author":"ayu"`, `"author":"ayu","author":"ayu"`},
		{`"author":"ayu"`, `"author":"ayu","other":1`}, {`"author":"ayu"`, "\"author\":\"\xff\""}, {`"ops":[`, `"ops": [`},
		{`"max_tokens":9`, `"max_tokens":0`}, {`"timeout_ms":5`, `"timeout_ms":0`}, {`"max_queue":1000`, `"max_queue":0`},
		{`"methods":["GET"]`, `"methods":null`}, {`"e2":{`, `"e0":{`}, {`"staleness_bound":3`, `"staleness_bound":null`},
		{`"path":"y"`, `"path":"y","value":null`}, {`"production_reserve":0.3`, `"production_reserve":0.30`}, {`"verdicts":[`, `"verdicts":null,"x":[`},
	}
	for _, c := range changes {
		left := false
		for _, raw := range canonicalRecords() {
			changed := strings.Replace(string(raw), c.from, c.to, 1)
			if changed != string(raw) { // inside an operation's raw value nothing is decoded yet
				left = !compare(g, []byte(changed)) || left
			}
		}
		g.Expect(left).To(BeTrue(), c.to)
	}
}

// Random cuts, copies and swaps of documents, some of which stay canonical.
func TestCanonicalAgreesWithTheStrict(t *testing.T) {
	g := NewWithT(t)
	taken := 0
	for seed := range uint64(20_000) {
		r := rand.New(rand.NewPCG(seed, 1))
		if compare(g, mutate(r, canonicalRecords()[seed%2])) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically(">", 100), "the comparison compares something")
}

var pieces = []string{"null", "0", `""`, "{}", "[]", "true", "1", "-0", "1.5", `"a"`, ",", `"e1":{},`}

func mutate(r *rand.Rand, raw []byte) []byte {
	words := strings.SplitAfter(string(raw), ",")
	for range 1 + r.IntN(2) {
		i, j := r.IntN(len(words)), r.IntN(len(words))
		switch r.IntN(4) {
		case 0:
			words[i], words[j] = words[j], words[i]
		case 1:
			words[i] = ""
		case 2:
			words[i] += words[j]
		case 3:
			if name, _, ok := strings.Cut(words[i], ":"); ok {
				words[i] = name + ":" + pieces[r.IntN(len(pieces))] + ","
			}
		}
	}
	return []byte(strings.Join(words, ""))
}

// FuzzCanonical compares both decoders on whatever stands in the log.
func FuzzCanonical(f *testing.F) {
	for _, raw := range canonicalRecords() {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) { compare(NewWithT(t), raw) })
}

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

// canonicalRecords returns records encoded by encoding/json, as the log holds them.
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
			LastOffset: 7, Version: 6, Tree: Tree{Fleet: fleet, Teams: map[ident.Team]Team{"t": team}}, Branches: map[Branch]ident.Offset{FleetBranch: 5},
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

// compareDecoders reports whether the canonical decoder accepts a document. If it does,
// the strict decoder must return the same value.
func compareDecoders(g *WithT, raw []byte) (accepted bool) {
	var canonical, strict Record
	if !decodeCanonical(raw, reflect.ValueOf(&canonical).Elem()) {
		g.Expect(canonical).To(Equal(Record{}), "a rejected document must leave the target unchanged")
		return false
	}
	err := decodeValue(raw, "record", reflect.ValueOf(&strict).Elem())
	g.Expect(err).To(BeNil(), "%s", raw)
	g.Expect(reflect.DeepEqual(canonical, strict)).To(BeTrue(), "%s", raw)
	return true
}

func TestCanonicalDecodesEncodedRecords(t *testing.T) {
	g := NewWithT(t)
	for _, raw := range canonicalRecords() {
		g.Expect(compareDecoders(g, raw)).To(BeTrue(), "%s", raw)
	}
}

// The canonical decoder must not accept what the strict one rejects or changes: two
// daemons of different builds would build different states from the same record.
func TestCanonicalRejectsOtherDocuments(t *testing.T) {
	g := NewWithT(t)
	changes := []struct{ from, to string }{
		{`"id"`, `"ID"`}, {`"author":"ayu"`, `"author":null`}, {`"author":"ayu"`, `"author":"ayu","author":"ayu"`},
		{`"author":"ayu"`, `"author":"ayu","other":1`}, {`"author":"ayu"`, "\"author\":\"\xff\""}, {`"ops":[`, `"ops": [`},
		{`"max_tokens":9`, `"max_tokens":0`}, {`"timeout_ms":5`, `"timeout_ms":0`}, {`"max_queue":1000`, `"max_queue":0`},
		{`"methods":["GET"]`, `"methods":null`}, {`"e2":{`, `"e0":{`}, {`"staleness_bound":3`, `"staleness_bound":null`},
		{`"path":"y"`, `"path":"y","value":null`}, {`"production_reserve":0.3`, `"production_reserve":0.30`}, {`"verdicts":[`, `"verdicts":null,"x":[`},
	}
	for _, c := range changes {
		rejected := false
		for _, raw := range canonicalRecords() {
			changed := strings.Replace(string(raw), c.from, c.to, 1)
			if changed != string(raw) {
				// A change within an operation's raw value may be accepted: that value
				// is decoded later.
				rejected = !compareDecoders(g, []byte(changed)) || rejected
			}
		}
		g.Expect(rejected).To(BeTrue(), c.to)
	}
}

// Compares the decoders on documents with randomly deleted, copied, swapped or replaced
// members, some of which remain canonical.
func TestCanonicalMatchesStrictOnMutations(t *testing.T) {
	g := NewWithT(t)
	accepted := 0
	for seed := range uint64(20_000) {
		r := rand.New(rand.NewPCG(seed, 1))
		if compareDecoders(g, mutate(r, canonicalRecords()[seed%2])) {
			accepted++
		}
	}
	g.Expect(accepted).To(BeNumerically(">", 100), "too few documents were accepted and compared")
}

var replacementValues = []string{"null", "0", `""`, "{}", "[]", "true", "1", "-0", "1.5", `"a"`, ",", `"e1":{},`}

func mutate(r *rand.Rand, raw []byte) []byte {
	members := strings.SplitAfter(string(raw), ",")
	for range 1 + r.IntN(2) {
		i, j := r.IntN(len(members)), r.IntN(len(members))
		switch r.IntN(4) {
		case 0:
			members[i], members[j] = members[j], members[i]
		case 1:
			members[i] = ""
		case 2:
			members[i] += members[j]
		case 3:
			if name, _, ok := strings.Cut(members[i], ":"); ok {
				members[i] = name + ":" + replacementValues[r.IntN(len(replacementValues))] + ","
			}
		}
	}
	return []byte(strings.Join(members, ""))
}

// FuzzCanonical compares the decoders on arbitrary input.
func FuzzCanonical(f *testing.F) {
	for _, raw := range canonicalRecords() {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) { compareDecoders(NewWithT(t), raw) })
}

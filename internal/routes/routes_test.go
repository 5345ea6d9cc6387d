package routes

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestMatchLongestPrefix(t *testing.T) {
	route := func(host, prefix string, kind Kind) Route {
		return Route{Name: host + prefix, Host: host, PathPrefix: prefix, Kind: kind}
	}
	config := New(3, []Route{route("A.example", "/", Safe), route("a.example", "/x/", Unsafe), route("a.example", "/x/y/", Batch), route("b.example", "/x/", Safe)}, nil, Limits{}, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "a.example/x/y/"},
		{"a.example", "/x/z", "a.example/x/"},
		{"A.EXAMPLE", "/x", "A.example/"},
		{"b.example", "/y", ""},
		{"c.example", "/", ""},
	} {
		r, ok := config.Match(c.host, c.path)
		NewWithT(t).Expect(r.Name).To(Equal(c.want), c.host+c.path)
		NewWithT(t).Expect(ok).To(Equal(c.want != ""))
	}
	NewWithT(t).Expect(config.AcceptsBatches("a.example")).To(BeTrue())
	NewWithT(t).Expect(config.AcceptsBatches("b.example")).To(BeFalse())
}

func TestPickByWeight(t *testing.T) {
	g := NewWithT(t)
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	g.Expect(r.Pick(0)).To(Equal("a"))
	g.Expect(r.Pick(0.899)).To(Equal("a"))
	g.Expect(r.Pick(0.9)).To(Equal("b"))
	g.Expect(r.Pick(0.9999)).To(Equal("b"))
	g.Expect(Route{Services: []WeightedService{{"a", 0}}}.Pick(0.5)).To(Equal("a"))
}

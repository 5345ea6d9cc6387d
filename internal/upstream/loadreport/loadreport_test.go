package loadreport

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a header that is broken or of another form being taken for an idle
// upstream, which would then get every call, and against the four-figure form being dropped.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		header string
		want   Report
		ok     bool
	}{
		{"3,10,6", Report{3, 10, 6, 1}, true},
		{" 3, 10 ,6 ", Report{3, 10, 6, 1}, true},
		{"0,0,1,100", Report{0, 0, 1, 1}, true},
		{"6,24,6,512", Report{6, 24, 6, 5.12}, true},
		{"6,24,6,87.5", Report{6, 24, 6, 0.875}, true},
		{header: ""}, {header: "3"}, {header: "3,10"}, {header: "3,10,6,100,7"}, {header: "3,10,6,"},
		{header: ",,"}, {header: "a,10,6"}, {header: "3,b,6"}, {header: "3,10,6,x"}, {header: "3;10;6"},
		{header: "-1,0,6"}, {header: "1,-1,6"}, {header: "1,1,0"}, {header: "1,1,-6"}, {header: "1.5,1,6"},
		{header: "1,1,6,0"}, {header: "1,1,6,-100"}, {header: "1,1,6,NaN"}, {header: "1,1,6,Inf"}, {header: "1,1,6,1e999"}, {header: "1,1,6,1e300"}, {header: "1,1,6,1e-300"},
		{header: "9223372036854775807,1,6"},
		{"65535,65535,65535", Report{65535, 65535, 65535, 1}, true},
		{header: "65536,0,6"}, {header: "0,65536,6"}, {header: "0,0,65536"}, {header: "0,0,2147483647"}, {header: "0,0,4611686018427387904"},
		{header: "0,0,1e400"}, {header: "0,0,18446744073709551616"}, {header: "0,0,[[6]]"},
	} {
		t.Run(c.header, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := Parse(c.header)
			g.Expect(ok).To(Equal(c.ok))
			g.Expect(got).To(Equal(c.want))
		})
	}
	NewWithT(t).Expect(Report{Running: 3, Waiting: 10, Slots: 6}.Load()).To(Equal(13))
}

package dispatch

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestDispatch(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatch")
}

// inBubble returns a test body that runs in a synctest bubble, under a simulated clock that
// advances only while all goroutines are blocked.
func inBubble(body func(g Gomega)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			body(NewGomega(Fail))
		})
	}
}

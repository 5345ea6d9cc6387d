package dispatch

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestDispatch(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatch")
}

// bubble runs a spec under a clock of its own, which moves only while every
// goroutine waits.
func bubble(body func(g Gomega)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			body(NewGomega(Fail))
		})
	}
}

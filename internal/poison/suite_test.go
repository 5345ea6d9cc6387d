package poison

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Poison")
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

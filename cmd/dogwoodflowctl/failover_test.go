package main

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

var _ = Describe("config watch with several daemons", func() {
	BeforeEach(func() { GinkgoT().Setenv(adminTokenEnv, "admin-token-0123456789") })

	const watchFive = "GET /v1/config/watch?after=5&branch=teams%2Fkoperasi"

	// The watched daemon is replaced: it answers that it is stopping, or closes the connection.
	// The next daemon must print the version that takes effect meanwhile, exactly once, even if
	// it is itself behind at first.
	It("continues with the next daemon if its daemon stops", func() {
		stopping := httpapi.Problem{Title: "Service Unavailable", Status: 503, Detail: "this daemon is stopping", Outcome: outcome.NotRun}
		for _, end := range []any{stopping, http.ErrAbortHandler} {
			first, second := newFakeDaemon(), newFakeDaemon()
			first.answers[watchFive] = []any{end}
			second.answers[watchFive] = []any{teamView(4), teamView(5), teamView(6)}
			other := httptest.NewServer(second)
			defer other.Close()
			shown, code := runCtl(first, "--url", "URL, "+other.URL, "config", "watch", "--branch=teams/koperasi", "--count=1")
			Expect(code).To(Equal(exitOK), shown)
			Expect(shown).To(ContainSubstring("moving on to " + other.URL))
			Expect(strings.Count(shown, "is in force at version 6")).To(Equal(1))
			Expect(shown).NotTo(ContainSubstring("version 4"))
		}
	})

	It("starts with a daemon that answers, and fails if none does", func() {
		_, code := runCtl(newFakeDaemon(), "--url", "http://127.0.0.1:1,URL", "config", "watch", "--branch=teams/koperasi", "--count=1")
		Expect(code).To(Equal(exitOK))
		shown, code := runCtl(newFakeDaemon(), "--url", "http://127.0.0.1:1,http://127.0.0.1:2", "config", "watch")
		Expect(code).To(Equal(exitFailed))
		Expect(strings.Count(shown, "moving on")).To(Equal(1))
	})

	It("doesn't switch to another daemon if the request itself is rejected", func() {
		d := newFakeDaemon()
		shown, code := runCtl(d, "--url", "URL,http://127.0.0.1:1", "config", "watch", "--branch=teams/none")
		Expect(code).To(Equal(exitFailed))
		Expect(shown).NotTo(ContainSubstring("moving on"))
	})
})

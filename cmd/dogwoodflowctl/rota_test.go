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

	// The daemon that an operator watches at is replaced: it says that it is
	// stopping, or its connection just ends. The version that comes into force
	// meanwhile must show all the same, once, from the next daemon; that one may
	// itself lag behind at first.
	It("goes on at the next one when its daemon stops", func() {
		stopping := httpapi.Problem{Title: "Service Unavailable", Status: 503, Detail: "this daemon is stopping", Outcome: outcome.NotRun}
		for _, end := range []any{stopping, http.ErrAbortHandler} {
			first, second := newDaemon(), newDaemon()
			first.answers[watchFive] = []any{end}
			second.answers[watchFive] = []any{team(4), team(5), team(6)}
			other := httptest.NewServer(second)
			defer other.Close()
			shown, code := ctl(first, "--url", "URL, "+other.URL, "config", "watch", "--branch=teams/koperasi", "--count=1")
			Expect(code).To(Equal(exitOK), shown)
			Expect(shown).To(ContainSubstring("moving on to " + other.URL))
			Expect(strings.Count(shown, "is in force at version 6")).To(Equal(1))
			Expect(shown).NotTo(ContainSubstring("version 4"))
		}
	})

	It("begins at any that answers, and ends when none does", func() {
		_, code := ctl(newDaemon(), "--url", "http://127.0.0.1:1,URL", "config", "watch", "--branch=teams/koperasi", "--count=1")
		Expect(code).To(Equal(exitOK))
		shown, code := ctl(newDaemon(), "--url", "http://127.0.0.1:1,http://127.0.0.1:2", "config", "watch")
		Expect(code).To(Equal(exitFailed))
		Expect(strings.Count(shown, "moving on")).To(Equal(1))
	})

	It("stays with a daemon that refuses the request itself", func() {
		d := newDaemon()
		shown, code := ctl(d, "--url", "URL,http://127.0.0.1:1", "config", "watch", "--branch=teams/none")
		Expect(code).To(Equal(exitFailed))
		Expect(shown).NotTo(ContainSubstring("moving on"))
	})
})

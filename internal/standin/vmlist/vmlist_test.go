package vmlist_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/vmlist"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

func TestLeavingIsVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := vmlist.New(vmlist.Options{VMs: []wire.VMEntry{{Name: "a"}}, Lag: 5 * time.Second})
		visibleList := func() string {
			w := httptest.NewRecorder()
			l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/vms", nil))
			return w.Body.String()
		}
		g.Expect(l.SetLeaving("a")).To(Succeed())
		g.Expect(l.SetLeaving("b")).NotTo(Succeed())
		time.Sleep(4 * time.Second)
		g.Expect(visibleList()).To(ContainSubstring(`"leaving":false`))
		time.Sleep(time.Second)
		g.Expect(visibleList()).To(ContainSubstring(`"leaving":true`))
	})
}

package httpapi

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/gorilla/mux"
)

// methods is an endpoint's handlers by method. GET serves HEAD too.
type methods map[string]http.Handler

// ServeHTTP answers any other method with 405 and the list of those allowed.
func (m methods) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method := r.Method
	if method == http.MethodHead {
		method = http.MethodGet
	}
	if h, ok := m[method]; ok {
		h.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Allow", m.allowed())
	refuse(http.StatusMethodNotAllowed, "the endpoint takes "+m.allowed()).write(w)
}

func (m methods) allowed() string {
	var names []string
	for _, name := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		if m[name] != nil {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// nameIn reads a name from the path, percent-encoded or not.
func nameIn(r *http.Request, variable string) (string, *Problem) {
	name, err := url.PathUnescape(mux.Vars(r)[variable])
	if err != nil || !namePattern.MatchString(name) {
		return "", refusal(http.StatusBadRequest, "the path's "+variable+" must be 1 to 63 of a-z 0-9 . _ - and begin with a letter or digit")
	}
	return name, nil
}

// servicePathFault says why a path may not go to a service. A route opens one
// prefix; a service that resolves "..", plain or percent-encoded, would let the
// caller out of it.
func servicePathFault(r *http.Request) string {
	path := r.URL.Path
	if !strings.HasPrefix(path, "/") {
		return "the path must begin with /"
	}
	for segment := range strings.FieldsFuncSeq(path, isSeparator) {
		if segment == "." || segment == ".." {
			return "the path must not hold . or .. as a segment"
		}
	}
	if strings.ContainsFunc(path, isControl) {
		return "the path must not hold control characters"
	}
	return ""
}

func isSeparator(c rune) bool { return c == '/' || c == '\\' }

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

package httpapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

// principal is who sent a request. An administrator has no team and may do
// everything; a team's key opens only that team.
type principal struct {
	admin bool
	team  ident.Team
	role  config.Role
}

// opens says whether the principal may act on a team.
func (p principal) opens(team ident.Team) bool { return p.admin || p.team == team }

type principalKey struct{}

func principalOf(r *http.Request) principal {
	p, _ := r.Context().Value(principalKey{}).(principal)
	return p
}

// authenticator finds out who sent a request by its bearer token.
type authenticator struct {
	adminHash [sha256.Size]byte
	state     func() *config.State
}

func newAuthenticator(admin settings.Secret, state func() *config.State) *authenticator {
	return &authenticator{adminHash: sha256.Sum256([]byte(admin)), state: state}
}

// require lets only requests of a role through. On the callers' and trainers'
// ports the administrator's token opens nothing: it names no team.
func (a *authenticator) require(role config.Role, allowAdmin bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, ok := bearer(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(http.StatusUnauthorized, "an Authorization: Bearer key is needed").write(w)
			return
		}
		p, ok := a.identify(secret, allowAdmin)
		if !ok {
			w.Header().Set("WWW-Authenticate", `Bearer error="invalid_token"`)
			a.refuseUnknown(w, secret)
			return
		}
		if !p.admin && !p.role.Allows(role) {
			refuse(http.StatusForbidden, "this key has the role "+string(p.role)+"; "+string(role)+" is needed").write(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, p)))
	})
}

// refuseUnknown turns down an unknown key. Without a configuration no key is
// known, so a good caller is told to come back instead.
func (a *authenticator) refuseUnknown(w http.ResponseWriter, secret string) {
	if a.isAdmin(secret) {
		refuse(http.StatusUnauthorized, "the administrator's token names no team; this port takes a team's key").write(w)
		return
	}
	if a.state().Version() == 0 {
		p := refuse(http.StatusServiceUnavailable, "this daemon has no configuration yet")
		p.RetryAfter = retryUnconfiguredSeconds
		p.write(w)
		return
	}
	refuse(http.StatusUnauthorized, "the key is not known").write(w)
}

func (a *authenticator) identify(secret string, allowAdmin bool) (principal, bool) {
	if allowAdmin && a.isAdmin(secret) {
		return principal{admin: true}, true
	}
	team, role, ok := a.state().Tree().Authenticate(secret)
	return principal{team: team, role: role}, ok
}

func (a *authenticator) isAdmin(secret string) bool {
	hash := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(hash[:], a.adminHash[:]) == 1
}

// bearer reads the key. Of two Authorization headers neither counts: another
// server on the way may have gone by the other one.
func bearer(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	token = strings.TrimSpace(token)
	return token, strings.EqualFold(scheme, "Bearer") && token != ""
}

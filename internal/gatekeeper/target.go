package gatekeeper

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// errTarget rejects a request whose target can't be forwarded unchanged.
var errTarget = errors.New("the target of the request can't be passed on unchanged; send a path that begins with one slash, with other characters escaped")

// requestTarget returns the path and query of a request as its client sent them. It returns
// false for targets without a path, such as "*".
func requestTarget(r *http.Request) (target string, ok bool) {
	target = r.RequestURI
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		target = "/"
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			target = rest[i:]
		}
		if strings.HasPrefix(target, "?") {
			target = "/" + target
		}
	}
	return target, strings.HasPrefix(target, "/")
}

// requestPath returns the path that selects the route: the one that the client sent, not
// the decoded one, since the endpoint gets it in that form too. An escaped slash separates
// nothing there, and must not do so here.
func requestPath(r *http.Request) (path string, ok bool) {
	target, ok := requestTarget(r)
	path, _, _ = strings.Cut(target, "?")
	return path, ok
}

// forwardURL returns the URL that sends a target to an address byte for byte. The library
// escapes some characters of a path and no part of an opaque URL, but takes an opaque one
// that begins with two slashes for an authority.
func forwardURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil || u.RequestURI() != target {
		return nil, errTarget
	}
	u.Scheme, u.Host = "http", address
	return u, nil
}

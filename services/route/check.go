package route

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// Check returns all errors of a routing, joined; nil means that it may become active.
func Check(r *runworks.Routing) error {
	services := map[string]bool{}
	for _, s := range r.Services {
		services[s.Name] = true
	}
	var errs []error
	for _, route := range r.Routes {
		if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
			errs = append(errs, errorx.IllegalFormat.New("route %s: the path prefix %q does not begin and end with a slash", route.Name, route.PathPrefix))
		}
		if len(route.Shares) == 0 {
			errs = append(errs, errorx.IllegalFormat.New("route %s: no service takes its calls", route.Name))
		}
		for _, s := range route.Shares {
			if !services[s.Service] {
				errs = append(errs, errorx.IllegalFormat.New("route %s: there is no service %q", route.Name, s.Service))
			}
			if s.Weight < 0 {
				errs = append(errs, errorx.IllegalFormat.New("route %s: the weight %d is negative", route.Name, s.Weight))
			}
		}
	}
	return errors.Join(errs...)
}

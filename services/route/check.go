package route

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// Check gives all mistakes of a routing in one error; nil means that it may be
// put in force.
func Check(r *runworks.Routing) error {
	services := map[string]bool{}
	for _, s := range r.Services {
		services[s.Name] = true
	}
	var list []error
	for _, one := range r.Routes {
		if !strings.HasPrefix(one.PathPrefix, "/") || !strings.HasSuffix(one.PathPrefix, "/") {
			list = append(list, errorx.IllegalFormat.New("route %s: the path prefix %q does not begin and end with a slash", one.Name, one.PathPrefix))
		}
		if len(one.Shares) == 0 {
			list = append(list, errorx.IllegalFormat.New("route %s: no service takes its calls", one.Name))
		}
		for _, s := range one.Shares {
			if !services[s.Service] {
				list = append(list, errorx.IllegalFormat.New("route %s: there is no service %q", one.Name, s.Service))
			}
			if s.Weight < 0 {
				list = append(list, errorx.IllegalFormat.New("route %s: the weight %d is negative", one.Name, s.Weight))
			}
		}
	}
	return errors.Join(list...)
}

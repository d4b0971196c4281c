package route

import (
	"slices"

	"github.com/runworks/runworks"
)

// MovedServices returns the services between which a routing that replaces another one shares streams out anew: those of each
// route of resumable streams whose shares differ, and which keeps the services that it had. The old routing may be nil.
func MovedServices(old, next *Table) []string {
	if old == nil {
		return nil
	}
	var out []string
	for _, t := range []*Table{old, next} {
		for _, one := range t.Routing.Routes {
			before, _ := old.Route(one.Host, one.PathPrefix)
			after, _ := next.Route(one.Host, one.PathPrefix)
			if before == nil || after == nil || !sharesOutAnew(before, after) {
				continue
			}
			for _, share := range after.Shares {
				if !slices.Contains(out, share.Service) {
					out = append(out, share.Service)
				}
			}
		}
	}
	return out
}

// sharesOutAnew reports whether a route divides resumable streams in another way than the one that it replaces, between services
// that include the former ones.
func sharesOutAnew(before, after *runworks.Route) bool {
	return (holdsStreams(before) || holdsStreams(after)) && !slices.Equal(before.Shares, after.Shares) && keepsServices(before, after)
}

// holdsStreams reports whether callers may resume calls of a route.
func holdsStreams(r *runworks.Route) bool { return r.Kind == runworks.CallStream && r.Resumable }

// keepsServices reports whether a route has all services of the one that it replaces.
func keepsServices(before, after *runworks.Route) bool {
	return !slices.ContainsFunc(before.Shares, func(one runworks.ServiceShare) bool {
		return !slices.ContainsFunc(after.Shares, func(other runworks.ServiceShare) bool { return other.Service == one.Service })
	})
}

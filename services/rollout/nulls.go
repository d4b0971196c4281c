package rollout

// nulls are the largest shares of failed answers that a good version may have: twice those of the
// old version.
type nulls struct {
	old map[string]Counts
}

func newNulls(totals map[cellKey]*tally) *nulls {
	out := &nulls{old: make(map[string]Counts)}
	for key, t := range totals {
		if key.server != "" {
			continue
		}
		routes := []string{""}
		if key.route != "" {
			routes = append(routes, key.route)
		}
		for _, route := range routes {
			sum := out.old[route]
			sum.add(t.Counts)
			out.old[route] = sum
		}
	}
	return out
}

// of returns the share for a route, or for all if route is "". The added answers keep it from
// being underestimated while few are known.
func (n *nulls) of(route string) float64 {
	c := n.old[route]
	return min(max(minFailed, 2*float64(c.Failed+c.Cut+1)/float64(c.Ended+100)), maxNull)
}

package rollout

import "math"

// corroborated returns a kind and a route of which the sum over all servers exceeds the limit, and
// not because of a single server.
func (j *judge) corroborated() (k kind, route string, ok bool) {
	for id, c := range j.series {
		if id.server == "" && c.value() >= id.kind.limit() && j.leastWithoutOne(id) >= corroborateAt*id.kind.limit() {
			return id.kind, id.route, true
		}
	}
	return 0, "", false
}

// leastWithoutOne returns the lowest of the sums that leave one server out.
func (j *judge) leastWithoutOne(id seriesKey) float64 {
	least := math.Inf(1)
	for server := range j.known {
		value := 0.0
		if c := j.others[seriesKey{cellKey{server, id.route}, id.kind}]; c != nil {
			value = c.value()
		}
		least = min(least, value)
	}
	return least
}

// level returns the highest sum of a server, or of all servers together if server is "", as a
// fraction of its limit, with the kind and the route.
func (j *judge) level(server string) (level float64, k kind, route string) {
	for _, of := range []kind{failures, slowFirst, slowGaps} {
		if v, at := j.levelOf(server, of); v > level {
			level, k, route = v, of, at
		}
	}
	return level, k, route
}

// levelOf is level for one kind.
func (j *judge) levelOf(server string, k kind) (level float64, route string) {
	highest := j.highest[seriesKey{cellKey{server: server}, k}]
	return highest.level, highest.route
}

// highestSum is the highest sum of a server, as a fraction of its limit, and its route.
type highestSum struct {
	level float64
	route string
}

// updateHighest finds the highest sum of each server and kind.
func (j *judge) updateHighest() {
	j.highest = make(map[seriesKey]highestSum)
	for id, c := range j.series {
		key := seriesKey{cellKey{server: id.server}, id.kind}
		if v := c.value() / id.kind.limit(); v > j.highest[key].level {
			j.highest[key] = highestSum{v, id.route}
		}
	}
}

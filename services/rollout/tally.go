package rollout

// cellKey is a server of the new version, or "" for the old version, and a route.
type cellKey struct{ server, route string }

// Counts are numbers of answers.
type Counts struct {
	// Ended are the answers that were complete or failed; Failed of them were errors, and Cut were
	// interrupted.
	Ended  int `json:"n,omitempty"`
	Failed int `json:"f,omitempty"`
	Cut    int `json:"c,omitempty"`
}

func (c *Counts) add(o Counts) {
	c.Ended += o.Ended
	c.Failed += o.Failed
	c.Cut += o.Cut
}

// plausible reports whether no number contradicts another.
func (c *Counts) plausible() bool {
	return c.Failed >= 0 && c.Cut >= 0 && c.Failed+c.Cut <= c.Ended && c.Ended <= maxCount
}

// atLeast reports whether no number is below that of o.
func (c *Counts) atLeast(o Counts) bool {
	return c.Ended >= o.Ended && c.Failed >= o.Failed && c.Cut >= o.Cut
}

// tally holds the answers of one server on one route.
type tally struct {
	Counts
	// times are those of the first event and between events, relative to the old version's.
	times [timings]buckets
}

func (t *tally) add(o *tally) {
	t.Counts.add(o.Counts)
	for i := range t.times {
		t.times[i].add(&o.times[i])
	}
}

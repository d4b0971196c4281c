package runworks

// Candidate is an agent that may receive a reservation, as known to an entry.
type Candidate struct {
	// Server is the name of the agent's backend server.
	Server string
	// Speed is the backend server's expected throughput relative to others.
	Speed float64
	// Slots, Running and Waiting are the values last reported by the agent.
	Slots   int
	Running int
	Waiting int
	// OwnLoad is the number of this entry's reservations and running requests there.
	OwnLoad int
	// SentSinceReport is the number of reservations this entry sent there since the last report.
	SentSinceReport int
}

// HasFreeSlot reports whether the agent is likely to have a free slot.
func (c *Candidate) HasFreeSlot() bool { return max(c.Running+c.Waiting, c.OwnLoad) < c.Slots }

// Picker chooses the agents that receive the reservations of a request. It is called with a
// lock held and must not block.
type Picker interface {
	// Pick returns the index of the candidate that receives the first reservation.
	Pick(req *Request, candidates []Candidate) int
	// Spread reports whether the other candidates receive reservations too, a little later.
	Spread() bool
}

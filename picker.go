package runworks

// Candidate is an agent that may get a ticket, as an entry sees it.
type Candidate struct {
	// Server names the backend server.
	Server string
	// Speed is the backend server's expected rate relative to others.
	Speed float64
	// Slots, Running and Waiting are as the agent last reported.
	Slots   int
	Running int
	Waiting int
	// OwnLoad is the tickets and running requests that this entry has there now.
	OwnLoad int
	// SentSinceReport is the tickets that this entry sent there since the last report.
	SentSinceReport int
}

// HasFreeSlot says whether the agent seems to have a free slot.
func (c *Candidate) HasFreeSlot() bool { return max(c.Running+c.Waiting, c.OwnLoad) < c.Slots }

// Picker chooses who gets the tickets of a request; it is called under a lock
// and must not wait.
type Picker interface {
	// Pick gives the index of the candidate that gets the first ticket.
	Pick(req *Request, candidates []Candidate) int
	// Spread says whether the other candidates get tickets too, a little later.
	Spread() bool
}

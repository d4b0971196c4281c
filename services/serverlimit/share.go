package serverlimit

const (
	// ExtraBurst is how many requests more than a second's worth all entries together may send at
	// once. It lets some entries have a whole request at hand each, where the limit is low.
	// With it they send at most five times the limit and 3 in any four seconds, where the
	// servers' users allow six times and 5: what is left is for entries that disagree on who
	// is there (TestPartsInSpan).
	ExtraBurst = 3
	// leastRate is the lowest rate in requests a second: a server that takes none is still
	// asked, every four seconds, as nothing else tells that it takes some again.
	leastRate = 0.25
)

// Share is what one entry may send to a server.
type Share struct {
	// PerSecond is in requests a second.
	PerSecond float64
	// Burst is how many requests may be sent at once after a pause.
	Burst float64
	// Initial is the part of a request that is at hand as the limit is named first: it puts the
	// entries' first requests one behind the other, at the limit's rate. Where all began with
	// nothing, a limit of one a second gave nothing for four seconds, and then four at once.
	Initial float64
}

// ShareOf gives the part of an entry in a limit, in requests a second, where so many entries
// come before it in the server's order of all of them.
//
// Every entry that may send has to have at least one request at hand, and all of these may
// be sent in one moment: with a hundred entries and a limit of one a second that alone would
// be a hundred. So only the first of them have a part, as many as the limit has requests at
// hand. All together send, in any span, what the rate gives in it, a second's worth more,
// and Extra.
func ShareOf(perSecond float64, ahead, entries int) Share {
	owners := ShareCount(perSecond, entries)
	if ahead >= owners {
		return Share{}
	}
	perSecond = max(perSecond, leastRate)
	return Share{PerSecond: perSecond / float64(owners), Burst: (perSecond + ExtraBurst) / float64(owners), Initial: 1 - float64(ahead+1)/float64(owners)}
}

// ShareCount gives how many of the entries have a part in a limit, in requests a second.
func ShareCount(perSecond float64, entries int) int {
	return int(min(float64(entries), max(perSecond, leastRate)+ExtraBurst))
}

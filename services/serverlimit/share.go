package serverlimit

const (
	// ExtraBurst is how many requests more than a second's worth all entries together may send at
	// once. It lets several entries have a whole permit each where the limit is low. With it they
	// send at most five times the limit and 3 in any four seconds, where the servers' users allow
	// six times and 5: the difference is for entries that disagree on who is up
	// (TestSharesInSpan).
	ExtraBurst = 3
	// minRate is the lowest rate in requests a second. A server that accepts none still gets a
	// request every four seconds, as nothing else shows that it accepts some again.
	minRate = 0.25
)

// Share is one entry's share of a server's rate limit.
type Share struct {
	// PerSecond is its rate in requests a second.
	PerSecond float64
	// Burst is how many requests may be sent at once after a pause.
	Burst float64
	// Initial is the part of a permit that is available when the limit becomes active. It spaces
	// the entries' first requests at the limit's rate. Where all started with none, a limit of
	// one a second allowed nothing for four seconds, and then four requests at once.
	Initial float64
}

// ShareOf returns an entry's share of a limit in requests a second, where ahead of the entries
// come before it in the order of this server.
//
// Every entry that may send needs a burst of at least one request, and all of them may send it in
// the same moment: with a hundred entries and a limit of one a second that alone would be a
// hundred. So only the first entries have a share, as many as the limit's burst has requests. In
// any span all together send at most what the rate yields in it, a second's worth more, and
// ExtraBurst.
func ShareOf(perSecond float64, ahead, entries int) Share {
	holders := ShareCount(perSecond, entries)
	if ahead >= holders {
		return Share{}
	}
	perSecond = max(perSecond, minRate)
	return Share{PerSecond: perSecond / float64(holders), Burst: (perSecond + ExtraBurst) / float64(holders), Initial: 1 - float64(ahead+1)/float64(holders)}
}

// ShareCount returns how many of the entries have a share of a limit in requests a second.
func ShareCount(perSecond float64, entries int) int {
	return int(min(float64(entries), max(perSecond, minRate)+ExtraBurst))
}

// RateWithin returns the highest rate in requests a second at which all entries together send at
// most perSecond requests in any second: the rate, and the bursts of all shares.
func RateWithin(perSecond float64) float64 { return max((perSecond-ExtraBurst)/2, minRate) }

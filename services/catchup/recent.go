package catchup

import "github.com/runworks/runworks"

const (
	// maxRecentBytes limits the memory of the updates that an entry keeps for others. The newest
	// one is kept whatever its size.
	maxRecentBytes = 256 << 10
	// maxRecentUpdates limits their number.
	maxRecentUpdates = 64
	// longRecord is the size in bytes above which a record is left out of a list if a later one of
	// its key is in it, and is sent as a patch.
	longRecord = 4 << 10
)

// Update is a sequence of changes that was applied to a topic.
type Update struct {
	From, Next runworks.Position
	// Records are the changes in order.
	Records []runworks.Record
	// Previous holds the values at From of the changed records.
	Previous map[string][]byte
}

// Recent holds the newest updates of a topic, each of which continues the one before. The zero value
// is ready to use. It is not safe for concurrent use.
type Recent struct {
	list  []Update
	bytes int
}

// Add adds an update and drops the oldest ones beyond the limits.
func (r *Recent) Add(u *Update) {
	one := Update{From: u.From, Next: u.Next, Records: withoutReplaced(u.Records)}
	r.list = append(r.list, one)
	r.bytes += sizeOf(one.Records)
	for len(r.list) > 1 && (r.bytes > maxRecentBytes || len(r.list) > maxRecentUpdates) {
		r.bytes -= sizeOf(r.list[0].Records)
		r.list = append(r.list[:0:0], r.list[1:]...)
	}
}

// Since returns the updates from a position on as one, without previous values, and reports whether
// all are kept.
func (r *Recent) Since(position runworks.Position) (*Update, bool) {
	for i, first := range r.list {
		if first.From.Era != position.Era || first.From.After(position) || !first.Next.After(position) {
			continue
		}
		out := &Update{From: first.From, Next: r.list[len(r.list)-1].Next}
		for _, one := range r.list[i:] {
			out.Records = append(out.Records, one.Records...)
		}
		out.Records = withoutReplaced(out.Records)
		return out, true
	}
	return nil, false
}

// Bytes returns the memory of the records that are kept.
func (r *Recent) Bytes() int { return r.bytes }

// withoutReplaced returns the records without the long ones that a later record of their key
// replaces. Applied in order, they lead to the same state.
func withoutReplaced(records []runworks.Record) []runworks.Record {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	out := make([]runworks.Record, 0, len(records))
	for i, r := range records {
		if len(r.Value) <= longRecord || last[r.Key] == i {
			out = append(out, r)
		}
	}
	return out
}

func sizeOf(records []runworks.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

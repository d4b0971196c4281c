package runworks

import "context"

// LogRecord is one record of the log service.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is a sequence of consecutive records, with the bounds of the log.
type LogPage struct {
	// First is the lowest retained offset; Next is the offset of the next record to be appended.
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// LogService is the platform's append-only log.
type LogService interface {
	// Append adds a record and returns its offset. After an error the record may still have
	// been added.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns the records starting at offset from, or ErrTruncated if the log no longer
	// holds that offset.
	Read(ctx context.Context, from int64) (*LogPage, error)
}

// Record is one record of a topic on the platform's store. An empty value means that the key
// was deleted.
type Record struct {
	Key   string
	Value []byte
}

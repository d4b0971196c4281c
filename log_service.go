package runworks

import "context"

// LogRecord is one record of the log service.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is a run of records, with the bounds of what the log holds.
type LogPage struct {
	// First is the first offset retained; Next is the offset the next record gets.
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// LogService is the platform's append-only log.
type LogService interface {
	// Append adds a record and gives its offset; after an error the record may
	// have been added all the same.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read gives records from an offset on; ErrTruncated if the log has dropped it.
	Read(ctx context.Context, from int64) (*LogPage, error)
}

// Record is one record of what entries follow on a platform's store; an empty value says
// that the key is gone.
type Record struct {
	Key   string
	Value []byte
}

package runworks

// StreamOrigin is the service and the software version that began a stream. Only servers of that version
// can continue it.
type StreamOrigin struct {
	// Stream is the ID of the caller's attempt that brought the stream's first event.
	Stream  RequestID `json:"stream"`
	Service string    `json:"service"`
	Version string    `json:"version"`
	// LeftMs is for how much longer the caller may resume the stream, in milliseconds.
	LeftMs int64 `json:"left_ms"`
}

// StreamVersion is a software version that may have begun streams which callers can still resume.
type StreamVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// KeepMs is for how long the version counts after its last server was removed, in milliseconds: as
	// long as a caller may resume its streams.
	KeepMs int64 `json:"keep_ms"`
	// Recorded is set if the durable record of versions holds this one.
	Recorded bool `json:"recorded,omitempty"`
}

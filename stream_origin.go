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

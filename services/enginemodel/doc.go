// Package enginemodel forecasts what one model engine does with a call: the time to its first event,
// and the longest gap between events of the streams that run there meanwhile. It has neither a
// network nor a clock: times are arguments.
package enginemodel

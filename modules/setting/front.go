package setting

import (
	"time"

	"github.com/runworks/runworks/modules/yamlfile"
)

// Defaults of a front's settings.
const (
	// DefaultGrace is how long a planned stop may take.
	DefaultGrace = 8 * time.Second
	// DefaultStopNotice is how long streams are taken after readiness turned red: a
	// balancer that asks each second and wants two misses has noticed by then. Those sent
	// up to 3 s after the signal may last until the end of the grace; half a second less
	// leaves a busy host time to learn of the signal and to read a call.
	DefaultStopNotice = 2500 * time.Millisecond
	// DefaultPeerTimeout is when a connection whose peer confirms nothing is given up.
	DefaultPeerTimeout = 3 * time.Second
	// DefaultRetryRatio is the part of a retry that each call earns.
	DefaultRetryRatio = 0.1
	// DefaultRetrySlack lets a fleet that just started send a few calls once more.
	DefaultRetrySlack = 20
	// DefaultRetryWindow is the span over which retries are counted.
	DefaultRetryWindow = 10 * time.Second
	// DefaultQuotaWindow is the span over which the customers' limits are counted.
	DefaultQuotaWindow = 8 * time.Second
	// DefaultQuarantineAfter is under how many ends of backend servers a request is held: one
	// or two may be those of servers that it only shared with the request that ended them.
	DefaultQuarantineAfter = 3
	// DefaultQuarantineFor is for how long: one that is never mended ends a server an hour.
	DefaultQuarantineFor = time.Hour
	// DefaultLogLinesPerSecond bounds the log lines of a second.
	DefaultLogLinesPerSecond = 300
)

// Front are the settings of a front: an entry on a platform whose store names the
// backend servers and holds the routing.
type Front struct {
	// Name is the host's name.
	Name string `yaml:"name"`
	// Hall is where the host stands.
	Hall string `yaml:"hall"`
	// Listen is host:port towards callers.
	Listen string `yaml:"listen"`
	// Ready is host:port where the balancer asks whether to send callers here.
	Ready string `yaml:"ready"`
	// Peers is host:port towards the other fronts.
	Peers string `yaml:"peers"`
	// Operators is host:port towards operators.
	Operators string `yaml:"operators"`
	// Store is host:port of the platform's store.
	Store string `yaml:"store"`
	// FleetKeys are shown and accepted between fronts; the first is shown.
	FleetKeys []string `yaml:"fleet_keys"`
	// Grace is how long a planned stop may take.
	Grace time.Duration `yaml:"grace"`
	// StopNotice is how long calls are taken after readiness turned red.
	StopNotice time.Duration `yaml:"stop_notice"`
	// PeerTimeout is when a connection whose peer confirms nothing is given up.
	PeerTimeout time.Duration `yaml:"silence"`
	// RetryRatio is the part of a retry that each call earns.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is how many retries all fronts together may make beyond that.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindow is the span over which retries are counted: a front has none of the
	// slack before it has lived through one.
	RetryWindow time.Duration `yaml:"retry_window"`
	// QuotaWindow is the span over which the customers' limits are counted.
	QuotaWindow time.Duration `yaml:"quota_window"`
	// QuarantineAfter is how many backend servers must have ended under a request before it
	// is held.
	QuarantineAfter int `yaml:"quarantine_after"`
	// QuarantineFor is for how long it is held after the last of them.
	QuarantineFor time.Duration `yaml:"quarantine_for"`
	// MaxBodyBytes bounds a call's body as long as no routing is in force.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// Cores is how many processors the process may use; 0 is all.
	Cores int `yaml:"cores"`
	// MemoryMB is the memory that the process may use; 0 is no bound.
	MemoryMB int64 `yaml:"memory_mb"`
	// Log says how log lines are written.
	Log Log `yaml:"log"`
	// LogLinesPerSecond bounds the log lines of a second; what is more is counted.
	LogLinesPerSecond int `yaml:"log_lines"`
	// Traces says where spans go.
	Traces Traces `yaml:"traces"`
}

// LoadFront reads and checks a front's settings.
func LoadFront(file string) (*Front, error) {
	s := &Front{
		Grace: DefaultGrace, StopNotice: DefaultStopNotice, PeerTimeout: DefaultPeerTimeout, RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack,
		RetryWindow: DefaultRetryWindow, QuotaWindow: DefaultQuotaWindow, QuarantineAfter: DefaultQuarantineAfter, QuarantineFor: DefaultQuarantineFor,
		MaxBodyBytes: DefaultMaxBodyBytes, LogLinesPerSecond: DefaultLogLinesPerSecond, Log: Log{JSON: true}, Traces: Traces{Sampled: 1},
	}
	return s, load(file, s, s.check)
}

func (s *Front) check() []yamlfile.Mistake {
	m := &mistakes{}
	m.required("name", s.Name)
	m.required("hall", s.Hall)
	m.address("listen", s.Listen)
	m.address("ready", s.Ready)
	m.address("peers", s.Peers)
	m.address("operators", s.Operators)
	m.address("store", s.Store)
	m.fleetKeys(s.FleetKeys)
	m.positive("grace", s.Grace)
	m.positive("stop_notice", s.StopNotice)
	m.positive("silence", s.PeerTimeout)
	m.positive("retry_window", s.RetryWindow)
	m.positive("quota_window", s.QuotaWindow)
	if s.StopNotice >= s.Grace {
		m.add("stop_notice", "%s is not below grace, %s", s.StopNotice, s.Grace)
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		m.add("retry_ratio", "%g is not from 0 to 1", s.RetryRatio)
	}
	if s.RetrySlack < 0 {
		m.add("retry_slack", "%g is negative", s.RetrySlack)
	}
	m.positive("quarantine_for", s.QuarantineFor)
	if s.QuarantineAfter < 2 {
		m.add("quarantine_after", "%d is below 2: one end says nothing of a request", s.QuarantineAfter)
	}
	if s.MaxBodyBytes <= 0 {
		m.add("max_body_bytes", "%d is not above zero", s.MaxBodyBytes)
	}
	if s.Cores < 0 {
		m.add("cores", "%d is negative", s.Cores)
	}
	if s.MemoryMB < 0 {
		m.add("memory_mb", "%d is negative", s.MemoryMB)
	}
	if s.LogLinesPerSecond <= 0 {
		m.add("log_lines", "%d is not above zero", s.LogLinesPerSecond)
	}
	m.log(&s.Log)
	m.traces(&s.Traces)
	return m.list
}

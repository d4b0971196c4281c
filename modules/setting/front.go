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
	// leaves a busy host time to learn of the signal and to read a call. With 3 s a stream
	// that was sent 3.02 s after it was cut by the end.
	DefaultStopNotice = 2500 * time.Millisecond
	// DefaultSilence is when a connection whose peer confirms nothing is given up.
	DefaultSilence = 3 * time.Second
	// DefaultRetryRatio is the part of a retry that each call earns.
	DefaultRetryRatio = 0.1
	// DefaultRetrySlack lets a fleet that just started send a few calls once more.
	DefaultRetrySlack = 20
	// DefaultRetryWindow is the span over which retries are counted.
	DefaultRetryWindow = 10 * time.Second
	// DefaultQuotaWindow is the span over which the customers' limits are counted.
	DefaultQuotaWindow = 8 * time.Second
	// DefaultLogLines bounds the log lines of a second.
	DefaultLogLines = 300
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
	// Silence is when a connection whose peer confirms nothing is given up.
	Silence time.Duration `yaml:"silence"`
	// RetryRatio is the part of a retry that each call earns.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is how many retries all fronts together may make beyond that.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindow is the span over which retries are counted: a front has none of the
	// slack before it has lived through one.
	RetryWindow time.Duration `yaml:"retry_window"`
	// QuotaWindow is the span over which the customers' limits are counted.
	QuotaWindow time.Duration `yaml:"quota_window"`
	// MaxBodyBytes bounds a call's body as long as no routing is in force.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// Cores is how many processors the process may use; 0 is all.
	Cores int `yaml:"cores"`
	// MemoryMB is the memory that the process may use; 0 is no bound.
	MemoryMB int64 `yaml:"memory_mb"`
	// Log says how log lines are written.
	Log Log `yaml:"log"`
	// LogLines bounds the log lines of a second; what is more is counted.
	LogLines int `yaml:"log_lines"`
	// Traces says where spans go.
	Traces Traces `yaml:"traces"`
}

// LoadFront reads and checks a front's settings.
func LoadFront(file string) (*Front, error) {
	s := &Front{
		Grace: DefaultGrace, StopNotice: DefaultStopNotice, Silence: DefaultSilence, RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack,
		RetryWindow: DefaultRetryWindow, QuotaWindow: DefaultQuotaWindow,
		MaxBodyBytes: DefaultMaxBodyBytes, LogLines: DefaultLogLines, Log: Log{JSON: true}, Traces: Traces{Sampled: 1},
	}
	return s, load(file, s, s.check)
}

func (s *Front) check() []yamlfile.Mistake {
	m := &mistakes{}
	m.needed("name", s.Name)
	m.needed("hall", s.Hall)
	m.address("listen", s.Listen)
	m.address("ready", s.Ready)
	m.address("peers", s.Peers)
	m.address("operators", s.Operators)
	m.address("store", s.Store)
	m.fleetKeys(s.FleetKeys)
	m.positive("grace", s.Grace)
	m.positive("stop_notice", s.StopNotice)
	m.positive("silence", s.Silence)
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
	if s.MaxBodyBytes <= 0 {
		m.add("max_body_bytes", "%d is not above zero", s.MaxBodyBytes)
	}
	if s.Cores < 0 {
		m.add("cores", "%d is negative", s.Cores)
	}
	if s.MemoryMB < 0 {
		m.add("memory_mb", "%d is negative", s.MemoryMB)
	}
	if s.LogLines <= 0 {
		m.add("log_lines", "%d is not above zero", s.LogLines)
	}
	m.log(&s.Log)
	m.traces(&s.Traces)
	return m.list
}

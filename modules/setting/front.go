package setting

import (
	"math"
	"slices"
	"time"

	"github.com/runworks/runworks/modules/yamlfile"
)

// Defaults of a front's settings.
const (
	// DefaultGrace limits the duration of a planned shutdown.
	DefaultGrace = 8 * time.Second
	// DefaultStopNotice is how long calls are still accepted after the readiness check started
	// to fail. A load balancer that checks every second and requires two failures has noticed
	// by then. Streams that are sent within 3 s of the signal may run until the end of the
	// grace period; the 0.5 s less leave a busy host time to handle the signal and to read a
	// call.
	DefaultStopNotice = 2500 * time.Millisecond
	// DefaultPeerTimeout is after how long without acknowledgment a connection is closed.
	DefaultPeerTimeout = 3 * time.Second
	// DefaultRetryRatio is the number of retries that each call adds to the retry budget.
	DefaultRetryRatio = 0.1
	// DefaultRetrySlack allows a few retries before any calls have added to the budget.
	DefaultRetrySlack = 20
	// DefaultRetryWindow is the time window of the retry budget.
	DefaultRetryWindow = 10 * time.Second
	// DefaultQuotaWindow is the time window over which the usage of customers is summed.
	DefaultQuotaWindow = 8 * time.Second
	// DefaultQuarantineAfter is the number of server exits after which a request is
	// quarantined. One or two of them may be caused by another request that ran on the same
	// server.
	DefaultQuarantineAfter = 3
	// DefaultQuarantineFor is the duration of a quarantine. A request that is never fixed then
	// causes one server exit per hour.
	DefaultQuarantineFor = time.Hour
	// DefaultColdOverage is by how much a server that starts up may exceed its cold-start rate.
	DefaultColdOverage = 1
	// DefaultExposureShare and DefaultExposureSlack bound the calls that a version gets before it is
	// accepted, and DefaultRollbackAfter the time in which a bad one is rolled back.
	DefaultExposureShare = 0.1
	DefaultExposureSlack = 50
	DefaultRollbackAfter = 5 * time.Second
	// DefaultMaxResponseBytes is several times the longest stream of a model, with an event for each token.
	DefaultMaxResponseBytes = 64 << 20
	// DefaultLogLinesPerSecond limits the log lines per second.
	DefaultLogLinesPerSecond = 300
)

// Front holds the settings of a front: an entry on a platform whose store lists the backend
// servers and holds the routing.
type Front struct {
	// Name is the host's name.
	Name string `yaml:"name"`
	// Hall is the hall in which the host is located.
	Hall string `yaml:"hall"`
	// Listen is the host:port for calls.
	Listen string `yaml:"listen"`
	// Ready is the host:port of the readiness check for the load balancer.
	Ready string `yaml:"ready"`
	// Peers is the host:port for connections from the other fronts.
	Peers string `yaml:"peers"`
	// PeersAdvertised is the host:port at which the other fronts reach Peers; empty if it is the same.
	PeersAdvertised string `yaml:"peers_advertised"`
	// Operators is the host:port for operators.
	Operators string `yaml:"operators"`
	// Store is the host:port of the platform's store.
	Store string `yaml:"store"`
	// FleetKeys authenticate the fronts to each other; the first is sent, all are accepted.
	FleetKeys []string `yaml:"fleet_keys"`
	// Grace limits the duration of a planned shutdown.
	Grace time.Duration `yaml:"grace"`
	// StopNotice is how long calls are still accepted after the readiness check started to
	// fail; it must be below Grace.
	StopNotice time.Duration `yaml:"stop_notice"`
	// PeerTimeout is after how long without acknowledgment by the peer a connection is closed.
	PeerTimeout time.Duration `yaml:"silence"`
	// RetryRatio is the number of retries, from 0 to 1, that each call adds to the retry budget.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the number of retries that all fronts together may make in addition within
	// one RetryWindow.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindow is the time window of the retry budget. A front gets its share of RetrySlack
	// only after it has run for one window.
	RetryWindow time.Duration `yaml:"retry_window"`
	// QuotaWindow is the time window over which the usage of customers is summed.
	QuotaWindow time.Duration `yaml:"quota_window"`
	// QuarantineAfter is the number of backend servers that must have exited while they
	// processed a request before it is quarantined; at least 2.
	QuarantineAfter int `yaml:"quarantine_after"`
	// QuarantineFor is the duration of the quarantine after the last exit.
	QuarantineFor time.Duration `yaml:"quarantine_for"`
	// Regions holds the region of each hall, by hall. A hall that is not listed is in no region.
	Regions map[string]string `yaml:"regions"`
	// ColdOverage times a service's cold-start rate, plus ColdSlack, is the number of calls that
	// all fronts together may send in a second to a server that starts up.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
	// Contracts names the parts of the platform's rules that are in force; package platform knows them.
	Contracts []string `yaml:"contracts"`
	// SharedScheduling lets one front grant the slots of each engine service to the calls of all.
	// Services whose engines report how slow they are need no setting.
	SharedScheduling bool `yaml:"shared_scheduling"`
	// CPUShare is the front's share of a processor, by which schedulers are chosen; 0 means unknown.
	CPUShare float64 `yaml:"cpu_share"`
	// ExposureShare of the calls that arrive for a service, plus ExposureSlack, is the most that all
	// fronts together may send to a version that is being rolled out, before it is accepted.
	ExposureShare float64 `yaml:"exposure_share"`
	ExposureSlack float64 `yaml:"exposure_slack"`
	// RollbackAfter is the time after its 50th bad answer after which a bad version must not get
	// any call.
	RollbackAfter OptionalDuration `yaml:"rollback_after"`
	// MaxBodyBytes limits the body of a call while no routing is active.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxResponseBytes limits what a call receives from its servers.
	MaxResponseBytes int64 `yaml:"max_response_bytes"`
	// Cores limits the processors that the process uses; 0 means all.
	Cores int `yaml:"cores"`
	// MemoryMB limits the memory of the process in MB; 0 means no limit.
	MemoryMB int64 `yaml:"memory_mb"`
	// CompleteAtClose names the services whose servers mark the end of a response by closing its connection only, with
	// neither a length nor chunks. The close then counts as that end while the server says that it runs. For any other
	// service a response must show that it is whole.
	CompleteAtClose []string `yaml:"complete_at_close"`
	// Log configures the log output.
	Log Log `yaml:"log"`
	// LogLinesPerSecond limits the log lines; those beyond it are dropped and counted.
	LogLinesPerSecond int `yaml:"log_lines"`
	// Traces configures the export of spans.
	Traces Traces `yaml:"traces"`
}

// LoadFront reads and validates a front's settings; invalid ones are a *yamlfile.Mistakes error.
func LoadFront(file string) (*Front, error) {
	s := &Front{
		Grace: DefaultGrace, StopNotice: DefaultStopNotice, PeerTimeout: DefaultPeerTimeout, RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack,
		RetryWindow: DefaultRetryWindow, QuotaWindow: DefaultQuotaWindow, QuarantineAfter: DefaultQuarantineAfter, QuarantineFor: DefaultQuarantineFor,
		ColdOverage: DefaultColdOverage, ExposureShare: DefaultExposureShare, ExposureSlack: DefaultExposureSlack, RollbackAfter: OptionalDuration(DefaultRollbackAfter),
		MaxBodyBytes: DefaultMaxBodyBytes, MaxResponseBytes: DefaultMaxResponseBytes, LogLinesPerSecond: DefaultLogLinesPerSecond, Log: Log{JSON: true}, Traces: Traces{Sampled: 1},
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
	if s.PeersAdvertised != "" {
		m.address("peers_advertised", s.PeersAdvertised)
	}
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
		m.add("quarantine_after", "%d is below 2: a single exit can't be attributed to one request", s.QuarantineAfter)
	}
	if s.CPUShare < 0 || math.IsInf(s.CPUShare, 0) || math.IsNaN(s.CPUShare) {
		m.add("cpu_share", "%g is negative or not finite", s.CPUShare)
	}
	s.checkNewServers(m)
	s.checkResources(m)
	if s.LogLinesPerSecond <= 0 {
		m.add("log_lines", "%d is not above zero", s.LogLinesPerSecond)
	}
	m.log(&s.Log)
	m.traces(&s.Traces)
	return m.list
}

// checkResources checks the bounds of bodies and of the process.
func (s *Front) checkResources(m *mistakes) {
	if s.MaxBodyBytes <= 0 {
		m.add("max_body_bytes", "%d is not above zero", s.MaxBodyBytes)
	}
	if s.MaxResponseBytes <= 0 {
		m.add("max_response_bytes", "%d is not above zero", s.MaxResponseBytes)
	}
	if slices.Contains(s.CompleteAtClose, "") {
		m.add("complete_at_close", "a service has no name")
	}
	if s.Cores < 0 {
		m.add("cores", "%d is negative", s.Cores)
	}
	if s.MemoryMB < 0 {
		m.add("memory_mb", "%d is negative", s.MemoryMB)
	}
}

// checkNewServers checks the settings for servers that start and versions that are rolled out.
func (s *Front) checkNewServers(m *mistakes) {
	if s.ColdOverage < 1 {
		m.add("cold_overage", "%g is below 1", s.ColdOverage)
	}
	if s.ColdSlack < 0 {
		m.add("cold_slack", "%g is negative", s.ColdSlack)
	}
	if s.ExposureShare < 0 || s.ExposureShare > 1 {
		m.add("exposure_share", "%g is not from 0 to 1", s.ExposureShare)
	}
	if s.ExposureSlack < 0 {
		m.add("exposure_slack", "%g is negative", s.ExposureSlack)
	}
	m.positive("rollback_after", time.Duration(s.RollbackAfter))
}

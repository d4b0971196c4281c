package setting

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/yamlfile"
)

// Default settings of entries and agents; their fields describe them.
const (
	DefaultBalancerDelay     = 5 * time.Second
	DefaultStopLimit         = 15 * time.Minute
	DefaultConfigPoll        = time.Second
	DefaultHostsPoll         = time.Second
	DefaultListSettle        = 5 * time.Second
	DefaultRepublishInterval = 10 * time.Minute
	DefaultMaxBodyBytes      = 8 << 20
	DefaultKeySkew           = 5 * time.Second
)

const minFleetKeyBytes = 16

// Common holds the settings that entries and agents have in common.
type Common struct {
	// Name is the host's name in the host list.
	Name string `yaml:"name"`
	// Hall is the hall in which the host is located.
	Hall string `yaml:"hall"`
	// Listen is the host:port for calls at an entry, and for connections of entries at an agent.
	Listen string `yaml:"listen"`
	// Operators is the host:port for operators.
	Operators string `yaml:"operators"`
	// LogService is the base URL of the platform's log service.
	LogService string `yaml:"log_service"`
	// FleetKeys authenticate the processes to each other; the first is sent, all are accepted.
	FleetKeys []string `yaml:"fleet_keys"`
	// ConfigPoll is the interval at which the platform's log is read.
	ConfigPoll time.Duration `yaml:"config_poll"`
	// RepublishInterval is the age at which the configuration is appended to the log again. It
	// must be well below the log's retention time.
	RepublishInterval time.Duration `yaml:"restate_every"`
	// StopLimit limits the duration of a planned shutdown; calls still running then are aborted.
	StopLimit time.Duration `yaml:"stop_limit"`
	// Log configures the log output.
	Log Log `yaml:"log"`
	// Traces configures the export of spans.
	Traces Traces `yaml:"traces"`
}

// Log holds the settings of the log output.
type Log struct {
	// Level is trace, debug, info, warn or error; empty means info.
	Level string `yaml:"level"`
	// JSON selects one JSON object per line.
	JSON bool `yaml:"json"`
}

// Traces holds the settings of tracing.
type Traces struct {
	// Endpoint is the OTLP/HTTP URL; if it is empty, no spans are exported.
	Endpoint string `yaml:"endpoint"`
	// Sampled is the fraction of new traces that is sampled, from 0 to 1.
	Sampled float64 `yaml:"sampled"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common `yaml:",inline"`
	// HostList is the base URL of the platform's host list.
	HostList string `yaml:"host_list"`
	// HostsPoll is the interval at which the host list is read.
	HostsPoll time.Duration `yaml:"hosts_poll"`
	// ListSettle is the maximum delay until an entry sees a change of the host list: the lag of
	// the list plus HostsPoll. An entry becomes ready, and its share of the customers' limits
	// grows, only after that time.
	ListSettle time.Duration `yaml:"list_settle"`
	// BalancerDelay is how long calls are still accepted after the readiness check started to
	// fail.
	BalancerDelay time.Duration `yaml:"balancer_delay"`
	// MaxBodyBytes limits the body of a call.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common `yaml:",inline"`
	// Server is the backend server's name in the configuration.
	Server string `yaml:"server"`
	// MaxWaiting limits the waiting reservations; 0 means the default of services/agent.
	MaxWaiting int `yaml:"max_waiting"`
	// MaxAnswerBytes limits the buffered bytes of one response; 0 means the default of
	// services/agent.
	MaxAnswerBytes int `yaml:"max_answer_bytes"`
	// KeySkew is the assumed maximum clock skew between callers and hosts.
	KeySkew time.Duration `yaml:"key_skew"`
}

// LoadEntry reads and validates an entry's settings; invalid ones are a *yamlfile.Mistakes error.
func LoadEntry(file string) (*Entry, error) {
	s := &Entry{
		Common: defaults(), HostsPoll: DefaultHostsPoll, ListSettle: DefaultListSettle, BalancerDelay: DefaultBalancerDelay, MaxBodyBytes: DefaultMaxBodyBytes,
	}
	return s, load(file, s, s.check)
}

// LoadAgent reads and validates an agent's settings; invalid ones are a *yamlfile.Mistakes error.
func LoadAgent(file string) (*Agent, error) {
	s := &Agent{Common: defaults(), KeySkew: DefaultKeySkew}
	return s, load(file, s, s.check)
}

func defaults() Common {
	return Common{
		ConfigPoll: DefaultConfigPoll, RepublishInterval: DefaultRepublishInterval, StopLimit: DefaultStopLimit,
		Traces: Traces{Sampled: 1},
	}
}

func load(file string, out any, check func() []yamlfile.Mistake) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errorx.Decorate(err, "read the settings")
	}
	return yamlfile.Decode(file, data, out, check)
}

// mistakes collects the invalid settings.
type mistakes struct {
	list []yamlfile.Mistake
}

func (m *mistakes) add(field, format string, args ...any) {
	m.list = append(m.list, yamlfile.Mistake{Field: "$." + field, Problem: fmt.Sprintf(format, args...)})
}

func (m *mistakes) required(field, value string) {
	if value == "" {
		m.add(field, "must not be empty")
	}
}

func (m *mistakes) address(field, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		m.add(field, "%q is not host:port", value)
	}
}

func (m *mistakes) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		m.add(field, "%q is not a URL such as http://10.0.0.1:9000", value)
	}
}

func (m *mistakes) positive(field string, value time.Duration) {
	if value <= 0 {
		m.add(field, "%s is not above zero", value)
	}
}

func (m *mistakes) common(c *Common) {
	m.required("name", c.Name)
	m.required("hall", c.Hall)
	m.address("listen", c.Listen)
	m.address("operators", c.Operators)
	m.url("log_service", c.LogService)
	m.fleetKeys(c.FleetKeys)
	m.positive("config_poll", c.ConfigPoll)
	m.positive("restate_every", c.RepublishInterval)
	m.positive("stop_limit", c.StopLimit)
	m.log(&c.Log)
	m.traces(&c.Traces)
}

func (m *mistakes) fleetKeys(keys []string) {
	if len(keys) == 0 {
		m.add("fleet_keys", "at least one key is needed")
	}
	for i, key := range keys {
		if len(key) < minFleetKeyBytes {
			m.add(fmt.Sprintf("fleet_keys[%d]", i), "shorter than %d bytes", minFleetKeyBytes)
		}
	}
}

func (m *mistakes) log(l *Log) {
	switch l.Level {
	case "", "trace", "debug", "info", "warn", "error":
	default:
		m.add("log.level", "%q is none of trace, debug, info, warn, error", l.Level)
	}
}

func (m *mistakes) traces(t *Traces) {
	if t.Endpoint != "" {
		m.url("traces.endpoint", t.Endpoint)
	}
	if t.Sampled < 0 || t.Sampled > 1 {
		m.add("traces.sampled", "%g is not from 0 to 1", t.Sampled)
	}
}

func (s *Entry) check() []yamlfile.Mistake {
	m := &mistakes{}
	m.common(&s.Common)
	m.url("host_list", s.HostList)
	m.positive("hosts_poll", s.HostsPoll)
	if s.ListSettle < 0 {
		m.add("list_settle", "%s is negative", s.ListSettle)
	}
	if s.BalancerDelay < 0 {
		m.add("balancer_delay", "%s is negative", s.BalancerDelay)
	}
	if s.MaxBodyBytes <= 0 {
		m.add("max_body_bytes", "%d is not above zero", s.MaxBodyBytes)
	}
	return m.list
}

func (s *Agent) check() []yamlfile.Mistake {
	m := &mistakes{}
	m.common(&s.Common)
	m.required("server", s.Server)
	if s.MaxWaiting < 0 {
		m.add("max_waiting", "%d is negative", s.MaxWaiting)
	}
	if s.MaxAnswerBytes < 0 {
		m.add("max_answer_bytes", "%d is negative", s.MaxAnswerBytes)
	}
	if s.KeySkew < 0 {
		m.add("key_skew", "%s is negative", s.KeySkew)
	}
	return m.list
}

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

// Defaults of the settings.
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

// Common are the settings that entries and agents share.
type Common struct {
	// Name is the host's name, as the host list has it.
	Name string `yaml:"name"`
	// Hall is where the host stands.
	Hall string `yaml:"hall"`
	// Listen is host:port: towards callers at an entry, towards entries at an agent.
	Listen string `yaml:"listen"`
	// Operators is host:port towards operators.
	Operators string `yaml:"operators"`
	// LogService is the base URL of the platform's log service.
	LogService string `yaml:"log_service"`
	// FleetKeys are shown and accepted between processes; the first is shown.
	FleetKeys []string `yaml:"fleet_keys"`
	// ConfigPoll is the time between reads of the log.
	ConfigPoll time.Duration `yaml:"config_poll"`
	// RepublishInterval is how long after it last stood on the log the configuration
	// is put there again; well inside the log's retention time.
	RepublishInterval time.Duration `yaml:"restate_every"`
	// StopLimit bounds a planned stop; what runs then is cut.
	StopLimit time.Duration `yaml:"stop_limit"`
	// Log says how log lines are written.
	Log Log `yaml:"log"`
	// Traces says where spans go.
	Traces Traces `yaml:"traces"`
}

// Log are the settings of log lines.
type Log struct {
	// Level is trace, debug, info, warn or error; info if empty.
	Level string `yaml:"level"`
	// JSON writes one JSON object a line.
	JSON bool `yaml:"json"`
}

// Traces are the settings of traces.
type Traces struct {
	// Endpoint is the OTLP/HTTP URL; empty sends no spans.
	Endpoint string `yaml:"endpoint"`
	// Sampled is the share of new traces that is kept, from 0 to 1.
	Sampled float64 `yaml:"sampled"`
}

// Entry are the settings of an entry.
type Entry struct {
	Common `yaml:",inline"`
	// HostList is the base URL of the platform's host list.
	HostList string `yaml:"host_list"`
	// HostsPoll is the time between reads of the host list.
	HostsPoll time.Duration `yaml:"hosts_poll"`
	// ListSettle bounds how late an entry learns of a change of the host list: its
	// lag and HostsPoll. An entry is not ready until then, and its share of the
	// customers' limits grows only after it.
	ListSettle time.Duration `yaml:"list_settle"`
	// BalancerDelay is how long calls are still taken after readiness turned red.
	BalancerDelay time.Duration `yaml:"balancer_delay"`
	// MaxBodyBytes bounds a call's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
}

// Agent are the settings of an agent.
type Agent struct {
	Common `yaml:",inline"`
	// Server is the backend server's name in the configuration.
	Server string `yaml:"server"`
	// MaxWaiting bounds the waiting tickets; 0 is the default.
	MaxWaiting int `yaml:"max_waiting"`
	// MaxAnswerBytes bounds what is kept of one answer; 0 is the default.
	MaxAnswerBytes int `yaml:"max_answer_bytes"`
	// KeySkew bounds how far the clocks of callers and hosts are apart.
	KeySkew time.Duration `yaml:"key_skew"`
}

// LoadEntry reads and checks an entry's settings.
func LoadEntry(file string) (*Entry, error) {
	s := &Entry{
		Common: defaults(), HostsPoll: DefaultHostsPoll, ListSettle: DefaultListSettle, BalancerDelay: DefaultBalancerDelay, MaxBodyBytes: DefaultMaxBodyBytes,
	}
	return s, load(file, s, s.check)
}

// LoadAgent reads and checks an agent's settings.
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

// mistakes gathers what is wrong with the settings.
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

package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/register"
	"jackdawhinge/common/targets"
)

// A LogFormat is the format of log lines.
type LogFormat string

// The log formats.
const (
	LogFormatText LogFormat = "text"
	LogFormatJSON LogFormat = "json"
)

const (
	defaultStopTimeout  = 30 * time.Second
	defaultMaxBodyBytes = 8 << 20
	defaultDrainDelay   = time.Second
	minSecretBytes      = 16
	maxBodyBytesLimit   = 64 << 20
)

// Settings are what one entry host reads from its file at start. The configuration comes from the
// platform.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	// Listen holds the addresses to listen on, each an IP address with a port.
	Listen struct {
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Control string `json:"control"`
		Admin   string `json:"admin"`
	} `json:"listen"`
	LogService  string `json:"log-service"`
	HostList    string `json:"host-list"`
	FleetSecret string `json:"fleet-secret"`
	// SecondarySecret is a second secret that is accepted from other processes while the fleet
	// secret is replaced.
	SecondarySecret string `json:"also-accept-secret"`
	// StopTimeout is the maximum duration of a stop.
	StopTimeout targets.Duration `json:"stop-within"`
	// DrainDelay is how long a stopping host accepts requests after it reports not ready.
	DrainDelay targets.Duration `json:"unready-for"`
	// MaxBodyBytes is the size of the largest request body that is accepted.
	MaxBodyBytes int64 `json:"max-body-bytes"`
	Logs         struct {
		Format LogFormat `json:"format"`
		Level  string    `json:"level"`
	} `json:"logs"`
	Traces struct {
		// Collector is the address of an OpenTelemetry collector. If empty, no traces are sent.
		Collector string `json:"collector"`
		// Share is the ratio of requests that are traced, from 0 to 1.
		Share float64 `json:"share"`
	} `json:"traces"`
}

// Read returns the validated settings in a file. See Parse for its errors.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings %s: %w", path, err)
	}
	return s, nil
}

// Parse returns the validated settings in JSON data, with defaults for missing fields. The error is a
// *targets.FieldError if a field's value is invalid.
func Parse(data []byte) (Settings, error) {
	s := Settings{StopTimeout: targets.Duration(defaultStopTimeout), DrainDelay: targets.Duration(defaultDrainDelay), MaxBodyBytes: defaultMaxBodyBytes}
	s.Logs.Format = LogFormatText
	s.Logs.Level = logrus.InfoLevel.String()
	if err := register.DecodeStrict(data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.validate()
}

func (s Settings) validate() error {
	if s.Name == "" {
		return &targets.FieldError{Field: "name", Problem: "is missing"}
	}
	if s.FailureDomain == "" {
		return &targets.FieldError{Field: "failure-domain", Problem: "is missing"}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if len(s.FleetSecret) < minSecretBytes {
		return &targets.FieldError{Field: "fleet-secret", Problem: "must have at least 16 bytes"}
	}
	if s.SecondarySecret != "" && len(s.SecondarySecret) < minSecretBytes {
		return &targets.FieldError{Field: "also-accept-secret", Problem: "must have at least 16 bytes"}
	}
	if s.StopTimeout <= 0 {
		return &targets.FieldError{Field: "stop-within", Problem: "must be over 0"}
	}
	if s.DrainDelay < 0 || s.DrainDelay >= s.StopTimeout {
		return &targets.FieldError{Field: "unready-for", Problem: "must not be negative, and less than stop-within"}
	}
	if s.MaxBodyBytes <= 0 || s.MaxBodyBytes > maxBodyBytesLimit {
		return &targets.FieldError{Field: "max-body-bytes", Problem: "must be from 1 to 67108864"}
	}
	return s.validateTelemetry()
}

func (s Settings) validateAddresses() error {
	addresses := []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.control", s.Listen.Control},
		{"listen.admin", s.Listen.Admin},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return &targets.FieldError{Field: address.field, Problem: "must be an IP number with a port"}
		}
	}
	services := []struct{ field, value string }{
		{"log-service", s.LogService},
		{"host-list", s.HostList},
	}
	for _, service := range services {
		u, err := url.Parse(service.value)
		if err != nil || !strings.HasPrefix(u.Scheme, "http") || u.Host == "" {
			return &targets.FieldError{Field: service.field, Problem: "must be an http URL"}
		}
	}
	return nil
}

func (s Settings) validateTelemetry() error {
	if s.Logs.Format != LogFormatText && s.Logs.Format != LogFormatJSON {
		return &targets.FieldError{Field: "logs.format", Problem: "must be text or json"}
	}
	if _, err := logrus.ParseLevel(s.Logs.Level); err != nil {
		return &targets.FieldError{Field: "logs.level", Problem: "must be debug, info, warning or error"}
	}
	if s.Traces.Share < 0 || s.Traces.Share > 1 {
		return &targets.FieldError{Field: "traces.share", Problem: "must be from 0 to 1"}
	}
	if s.Traces.Collector != "" {
		if _, err := netip.ParseAddrPort(s.Traces.Collector); err != nil {
			return &targets.FieldError{Field: "traces.collector", Problem: "must be an IP number with a port"}
		}
	}
	return nil
}

// AcceptedSecrets returns the secrets that are accepted from other processes of the fleet.
func (s Settings) AcceptedSecrets() []string {
	if s.SecondarySecret == "" {
		return []string{s.FleetSecret}
	}
	return []string{s.FleetSecret, s.SecondarySecret}
}

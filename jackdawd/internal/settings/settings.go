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

// A LogFormat is how log lines are written.
type LogFormat string

// The log formats.
const (
	TextLogs LogFormat = "text"
	JSONLogs LogFormat = "json"
)

const (
	defaultStopWithin   = 30 * time.Second
	defaultMaxBodyBytes = 8 << 20
	defaultUnreadyFor   = time.Second
	minSecretBytes      = 16
	maxBodyLimit        = 64 << 20
)

// Settings are what one entry host is told at its start; the rest comes from the platform.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	// Listen names the addresses to listen on, each an IP number with a port.
	Listen struct {
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Control string `json:"control"`
		Admin   string `json:"admin"`
	} `json:"listen"`
	LogService  string `json:"log-service"`
	HostList    string `json:"host-list"`
	FleetSecret string `json:"fleet-secret"`
	// AlsoAcceptSecret is a second secret that other processes may show, while one is being replaced.
	AlsoAcceptSecret string           `json:"also-accept-secret"`
	StopWithin       targets.Duration `json:"stop-within"`
	// UnreadyFor is how long a stopping host still takes requests after readiness has gone false.
	UnreadyFor   targets.Duration `json:"unready-for"`
	MaxBodyBytes int64            `json:"max-body-bytes"`
	Logs         struct {
		Format LogFormat `json:"format"`
		Level  string    `json:"level"`
	} `json:"logs"`
	Traces struct {
		// Collector is the address of an OpenTelemetry collector; empty means no traces.
		Collector string  `json:"collector"`
		Share     float64 `json:"share"`
	} `json:"traces"`
}

// Read returns the settings in a file, checked.
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

// Parse returns the settings in JSON, with defaults filled in, checked.
func Parse(data []byte) (Settings, error) {
	s := Settings{StopWithin: targets.Duration(defaultStopWithin), UnreadyFor: targets.Duration(defaultUnreadyFor), MaxBodyBytes: defaultMaxBodyBytes}
	s.Logs.Format = TextLogs
	s.Logs.Level = logrus.InfoLevel.String()
	if err := register.DecodeStrict(data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.check()
}

func (s Settings) check() error {
	if s.Name == "" {
		return &targets.FieldError{Field: "name", Problem: "is missing"}
	}
	if s.FailureDomain == "" {
		return &targets.FieldError{Field: "failure-domain", Problem: "is missing"}
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if len(s.FleetSecret) < minSecretBytes {
		return &targets.FieldError{Field: "fleet-secret", Problem: "must have at least 16 bytes"}
	}
	if s.AlsoAcceptSecret != "" && len(s.AlsoAcceptSecret) < minSecretBytes {
		return &targets.FieldError{Field: "also-accept-secret", Problem: "must have at least 16 bytes"}
	}
	if s.StopWithin <= 0 {
		return &targets.FieldError{Field: "stop-within", Problem: "must be over 0"}
	}
	if s.UnreadyFor < 0 || s.UnreadyFor >= s.StopWithin {
		return &targets.FieldError{Field: "unready-for", Problem: "must not be negative, and less than stop-within"}
	}
	if s.MaxBodyBytes <= 0 || s.MaxBodyBytes > maxBodyLimit {
		return &targets.FieldError{Field: "max-body-bytes", Problem: "must be from 1 to 67108864"}
	}
	return s.checkTelemetry()
}

func (s Settings) checkAddresses() error {
	listen := []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.control", s.Listen.Control},
		{"listen.admin", s.Listen.Admin},
	}
	for _, l := range listen {
		if _, err := netip.ParseAddrPort(l.value); err != nil {
			return &targets.FieldError{Field: l.field, Problem: "must be an IP number with a port"}
		}
	}
	services := []struct{ field, value string }{
		{"log-service", s.LogService},
		{"host-list", s.HostList},
	}
	for _, v := range services {
		u, err := url.Parse(v.value)
		if err != nil || !strings.HasPrefix(u.Scheme, "http") || u.Host == "" {
			return &targets.FieldError{Field: v.field, Problem: "must be an http URL"}
		}
	}
	return nil
}

func (s Settings) checkTelemetry() error {
	if s.Logs.Format != TextLogs && s.Logs.Format != JSONLogs {
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

// Secrets returns the secrets that other processes of the fleet may show.
func (s Settings) Secrets() []string {
	if s.AlsoAcceptSecret == "" {
		return []string{s.FleetSecret}
	}
	return []string{s.FleetSecret, s.AlsoAcceptSecret}
}

package settings

import (
	"bytes"
	_ "embed" // for Example
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Example is a settings file with every key.
//
//go:embed example.toml
var Example string

// ErrInvalid is returned if a settings file is malformed or a value is out of range.
var ErrInvalid = eris.New("invalid settings")

// Protocols of the platform's key-value service.
const (
	ProtocolEtcd = "etcd"
	ProtocolJSON = "json"
)

// minMemoryMB is the least memory of a machine, below which the program itself does not fit.
const minMemoryMB = 32

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Duration is a time.Duration that is written as a string such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxConnections int   `toml:"max_connections"`
	MaxHeaderBytes int   `toml:"max_header_bytes"`
	// MemoryMB is the memory of the machine in megabytes (10^6 bytes), as the platform states it; 0 derives it from GOMEMLIMIT.
	MemoryMB       float64  `toml:"memory_mb"`
	ReadTimeout    Duration `toml:"read_timeout"`
	RequestTimeout Duration `toml:"request_timeout"`
}

// Listen holds the addresses that the host listens on, as host:port.
type Listen struct {
	Caller string `toml:"caller"`
	Debug  string `toml:"debug"`
	Peer   string `toml:"peer"`
	// Ready is the address of the readiness check on platforms whose load balancer needs a separate one.
	Ready string `toml:"ready"`
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string `toml:"ready_path"`
}

// Log sets the format and level of the log.
type Log struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Platform configures access to the platform: addresses, protocol and request budgets.
type Platform struct {
	// Advice is the host:port of the placement advice service; empty if there is none.
	Advice    string   `toml:"advice"`
	Endpoints []string `toml:"endpoints"`
	// Protocol is ProtocolEtcd or ProtocolJSON.
	Protocol       string  `toml:"protocol"`
	ReadsPerSecond float64 `toml:"reads_per_second"`
	// StatusRetention is how long the status of a job is kept after its end.
	StatusRetention Duration `toml:"status_retention"`
	// Strength is the number of processors of this host, as a fraction if it shares one. Stronger hosts own more
	// shards.
	Strength        float64  `toml:"strength"`
	Timeout         Duration `toml:"timeout"`
	WritesPerSecond float64  `toml:"writes_per_second"`
}

// Worker holds the limits of leases and the speeds of the platform's workers.
type Worker struct {
	// LeaseReserve is subtracted from MaxLease: the scheduler requests leases that are at least this much shorter.
	LeaseReserve Duration `toml:"lease_reserve"`
	// MaxLease is the longest lease that a worker grants.
	MaxLease Duration `toml:"max_lease"`
	// RemoteFactor is how many times as long a task takes away from the rack of its data or of its group; 1 if it is not slower there.
	RemoteFactor float64 `toml:"remote_factor"`
}

// Security holds TLS files and the token of operators. An empty value disables TLS or authentication for that
// connection.
type Security struct {
	Caller        TLS    `toml:"caller"`
	OperatorToken string `toml:"operator_token"`
	Peer          TLS    `toml:"peer"`
	Worker        TLS    `toml:"worker"`
}

// Settings holds all settings of an entry host. They are read once, at start.
type Settings struct {
	Host         string       `toml:"host"`
	Limits       Limits       `toml:"limits"`
	Listen       Listen       `toml:"listen"`
	Log          Log          `toml:"log"`
	Platform     Platform     `toml:"platform"`
	Region       string       `toml:"region"`
	Security     Security     `toml:"security"`
	Worker       Worker       `toml:"worker"`
	Zone         string       `toml:"zone"`
	ZoneSettings ZoneSettings `toml:"zone_settings"`
}

// ZoneSettings holds settings that must be the same on all entry hosts of a zone.
type ZoneSettings struct {
	Shards int `toml:"shards"`
}

// Default returns settings with defaults for all optional values. Required values are empty.
func Default() Settings {
	var s Settings
	if err := toml.Unmarshal([]byte(Example), &s); err != nil {
		panic(err) // the example is embedded and covered by a test
	}
	s.Host, s.Region, s.Zone = "", "", ""
	s.Listen = Listen{ReadyPath: s.Listen.ReadyPath}
	s.Platform.Endpoints = nil
	return s
}

// Load reads and validates a settings file. Errors match ErrInvalid or the error of reading the file.
func Load(file string, overrides ...string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrap(err, "reading settings")
	}
	return Parse(text, overrides...)
}

// Parse reads and validates settings in TOML. An override, KEY=VALUE with the section in the key, replaces the value of a setting; one with
// an empty value, which a platform may fill in for a figure that it does not have, changes nothing. Errors match ErrInvalid.
func Parse(text []byte, overrides ...string) (Settings, error) {
	s := Default()
	if err := s.decode(text); err != nil {
		return Settings{}, err
	}
	for _, o := range overrides {
		key, value, ok := strings.Cut(o, "=")
		if !ok {
			return Settings{}, eris.Wrapf(ErrInvalid, "override %q must have the form KEY=VALUE", o)
		}
		if value == "" {
			continue
		}
		if err := s.decode([]byte(o)); err != nil {
			return Settings{}, eris.Wrapf(err, "override of %s", key)
		}
	}
	return s, s.Check()
}

// decode replaces the settings that the text has.
func (s *Settings) decode(text []byte) error {
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return eris.Wrap(ErrInvalid, decodeErrorText(err))
	}
	return nil
}

// Check returns an error for the first invalid value. Errors match ErrInvalid.
func (s Settings) Check() error {
	for _, c := range []struct{ key, value string }{
		{"host", s.Host},
		{"zone", s.Zone},
		{"region", s.Region},
	} {
		if !namePattern.MatchString(c.value) {
			return invalidValue(c.key, c.value, "a name that matches "+namePattern.String())
		}
	}
	for _, c := range []struct{ key, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.debug", s.Listen.Debug},
		{"listen.peer", s.Listen.Peer},
	} {
		if _, _, err := net.SplitHostPort(c.value); err != nil {
			return invalidValue(c.key, c.value, "host:port")
		}
	}
	if err := s.checkPlatform(); err != nil {
		return err
	}
	for _, c := range []struct {
		key string
		tls TLS
	}{
		{"security.caller", s.Security.Caller},
		{"security.peer", s.Security.Peer},
	} {
		if c.tls.ClientCA != "" && c.tls.Certificate == "" {
			return invalidValue(c.key+".client_ca", c.tls.ClientCA, "only together with certificate and key")
		}
		if (c.tls.Certificate == "") != (c.tls.Key == "") {
			return invalidValue(c.key+".key", c.tls.Key, "certificate and key together")
		}
	}
	return s.checkRanges()
}

func (s Settings) checkPlatform() error {
	if len(s.Platform.Endpoints) == 0 {
		return invalidValue("platform.endpoints", "[]", "at least one URL")
	}
	for _, e := range s.Platform.Endpoints {
		u, err := url.Parse(e)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return invalidValue("platform.endpoints", e, "a URL such as http://127.0.0.1:2379")
		}
	}
	return nil
}

func (s Settings) checkRanges() error {
	for _, c := range []struct {
		key       string
		value     float64
		low, high float64
	}{
		{"platform.reads_per_second", s.Platform.ReadsPerSecond, 1, 1500},
		{"platform.writes_per_second", s.Platform.WritesPerSecond, 1, 300},
		{"platform.status_retention (seconds)", s.Platform.StatusRetention.Seconds(), 1, 86_400},
		{"platform.strength", s.Platform.Strength, 0.001, 1024},
		{"platform.timeout (seconds)", s.Platform.Timeout.Seconds(), 0.01, 60},
		{"zone_settings.shards", float64(s.ZoneSettings.Shards), 1, 64},
		{"worker.lease_reserve (seconds)", s.Worker.LeaseReserve.Seconds(), 0, 60},
		{"worker.max_lease (seconds)", s.Worker.MaxLease.Seconds(), 1, 600},
		{"worker.remote_factor", s.Worker.RemoteFactor, 1, 100},
		{"limits.max_body_bytes", float64(s.Limits.MaxBodyBytes), 1, 1 << 30},
		{"limits.max_connections", float64(s.Limits.MaxConnections), 1, 1 << 20},
		{"limits.max_header_bytes", float64(s.Limits.MaxHeaderBytes), 1024, 1 << 20},
		{"limits.memory_mb", s.Limits.MemoryMB, 0, 1 << 24},
		{"limits.read_timeout (seconds)", s.Limits.ReadTimeout.Seconds(), 0.01, 3600},
		{"limits.request_timeout (seconds)", s.Limits.RequestTimeout.Seconds(), 0.01, 3600},
	} {
		if !(c.value >= c.low && c.value <= c.high) { // also rejects NaN, unlike value < low || value > high
			return invalidValue(c.key, fmt.Sprint(c.value), fmt.Sprintf("%g to %g", c.low, c.high))
		}
	}
	if mb := s.Limits.MemoryMB; mb != 0 && mb < minMemoryMB {
		return invalidValue("limits.memory_mb", fmt.Sprint(mb), fmt.Sprintf("0 or at least %d", minMemoryMB))
	}
	if s.Platform.Protocol != ProtocolEtcd && s.Platform.Protocol != ProtocolJSON {
		return invalidValue("platform.protocol", s.Platform.Protocol, "etcd or json")
	}
	if s.Platform.Protocol == ProtocolJSON {
		if _, _, err := net.SplitHostPort(s.Listen.Ready); err != nil {
			return invalidValue("listen.ready", s.Listen.Ready, "host:port")
		}
	}
	if s.Log.Format != "text" && s.Log.Format != "json" {
		return invalidValue("log.format", s.Log.Format, "text or json")
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		return invalidValue("log.level", s.Log.Level, "debug, info, warning or error")
	}
	return nil
}

// decodeErrorText returns the message of a TOML error with its line and key.
func decodeErrorText(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		return fmt.Sprintf("line %d: unknown key %q", line, strings.Join(strict.Errors[0].Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return fmt.Sprintf("line %d: %s: %s", line, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
	}
	return err.Error()
}

func invalidValue(key, value, allowed string) error {
	return eris.Wrapf(ErrInvalid, "%s = %q, allowed: %s", key, value, allowed)
}

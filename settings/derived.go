package settings

import (
	"cmp"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/deckpulley/deckpulley/lease"
)

// Defaults and maxima of the fields of Watch.
const (
	DefaultPollInterval = 500 * time.Millisecond
	DefaultPollTimeout  = time.Second
	maxPollInterval     = 2 * time.Second
	maxPollTimeout      = 5 * time.Second
)

const (
	logFormatText = "text"
	logFormatJSON = "json"
)

var logLevels = map[string]slog.Level{
	"":      slog.LevelInfo,
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// PollInterval returns Interval, or its default if it is not set.
func (w Watch) PollInterval() time.Duration {
	return cmp.Or(time.Duration(w.Interval), DefaultPollInterval)
}

// PollTimeout returns Timeout, or its default if it is not set.
func (w Watch) PollTimeout() time.Duration {
	return cmp.Or(time.Duration(w.Timeout), DefaultPollTimeout)
}

// LeaseConfig returns the configuration of leases, with the defaults of the fields that
// are not set.
func (s *Settings) LeaseConfig() lease.Config {
	defaults := lease.DefaultConfig()
	return lease.Config{
		Duration:            cmp.Or(time.Duration(s.Lease.Length), defaults.Duration),
		ClockDriftMargin:    cmp.Or(time.Duration(s.Lease.Margin), defaults.ClockDriftMargin),
		MaxQuorumContactAge: cmp.Or(time.Duration(s.Lease.QuorumAge), defaults.MaxQuorumContactAge),
		RenewalInterval:     cmp.Or(time.Duration(s.Lease.Renewal), defaults.RenewalInterval),
	}
}

// LogLevel returns the level of the log, or slog.LevelInfo if it is not set.
func (s *Settings) LogLevel() slog.Level { return logLevels[s.Log.Level] }

// Logger returns a logger that writes to standard error at LogLevel and adds the node's
// name to every line.
func (s *Settings) Logger() *slog.Logger {
	level := new(slog.LevelVar)
	level.Set(s.LogLevel())
	return s.NewLogger(os.Stderr, level)
}

// NewLogger is like Logger, but writes to a given destination, at a level that the
// caller may change later, for example when the settings are reloaded.
func (s *Settings) NewLogger(destination io.Writer, level *slog.LevelVar) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(destination, options)
	if s.Log.Format == logFormatJSON {
		handler = slog.NewJSONHandler(destination, options)
	}
	return slog.New(handler).With("node", s.Name)
}

package settings

import (
	"cmp"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/deckpulley/deckpulley/lease"
)

// Defaults and upper bounds of Watch.
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

// PollInterval returns Interval or its default.
func (w Watch) PollInterval() time.Duration {
	return cmp.Or(time.Duration(w.Interval), DefaultPollInterval)
}

// PollTimeout returns Timeout or its default.
func (w Watch) PollTimeout() time.Duration {
	return cmp.Or(time.Duration(w.Timeout), DefaultPollTimeout)
}

// LeaseConfig returns the configuration of leases, with the defaults of what the file
// leaves out.
func (s *Settings) LeaseConfig() lease.Config {
	defaults := lease.DefaultConfig()
	return lease.Config{
		Duration:            cmp.Or(time.Duration(s.Lease.Length), defaults.Duration),
		ClockDriftMargin:    cmp.Or(time.Duration(s.Lease.Margin), defaults.ClockDriftMargin),
		MaxQuorumContactAge: cmp.Or(time.Duration(s.Lease.QuorumAge), defaults.MaxQuorumContactAge),
		RenewalInterval:     cmp.Or(time.Duration(s.Lease.Renewal), defaults.RenewalInterval),
	}
}

// LogLevel returns the level of the log.
func (s *Settings) LogLevel() slog.Level { return logLevels[s.Log.Level] }

// Logger returns a logger to standard error at LogLevel, with the node's name in
// every line.
func (s *Settings) Logger() *slog.Logger {
	level := new(slog.LevelVar)
	level.Set(s.LogLevel())
	return s.NewLogger(os.Stderr, level)
}

// NewLogger returns a logger like that of Logger, but to a destination and with a
// level that the caller may change later, as on a reload.
func (s *Settings) NewLogger(destination io.Writer, level *slog.LevelVar) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(destination, options)
	if s.Log.Format == logFormatJSON {
		handler = slog.NewJSONHandler(destination, options)
	}
	return slog.New(handler).With("node", s.Name)
}

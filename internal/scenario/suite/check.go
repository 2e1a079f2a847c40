package suite

import (
	"io"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/report"
)

// CheckLogs checks the event logs of an earlier run in a folder and writes the summary and the
// verdicts. It returns ErrBroken if a promise is broken.
func CheckLogs(out io.Writer, folder string, options checker.Options) error {
	events, err := eventlog.ReadFolder(folder)
	if err != nil {
		return err
	}
	checked := checker.Check(events, options)
	if err := report.WriteSummary(out, report.Summarize(events)); err != nil {
		return err
	}
	if err := report.WriteVerdicts(out, checked, nil); err != nil {
		return err
	}
	if checked.Broken() {
		return ErrBroken
	}
	return nil
}

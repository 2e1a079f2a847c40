package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
)

// Kinds written by operators when they read the control plane's state back.
const (
	ConfigurationRead Kind = "configuration_read" // Version, Target (digest of the document), Gateway (node asked)
	ZonesRead         Kind = "zones_read"         // Zone, Detail evacuated|open, Gateway (node asked)
	Inventory         Kind = "inventory"          // Replica, Zone, Region, Service: where a replica stands; or Class control, Target, Gateway: a control node's operator address
)

// logPattern matches the event logs of a run folder.
const logPattern = "*.jsonl"

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// ReadFolder reads every log (*.jsonl) of the folder and orders the events by
// their stamps. A last line that a killed writer tore is left out; any other
// line that does not decode is an error that names file and line.
func ReadFolder(folder string) ([]Event, error) {
	paths, err := filepath.Glob(filepath.Join(folder, logPattern))
	if err != nil {
		return nil, fmt.Errorf("listing event logs: %w", err)
	}
	sort.Strings(paths)
	var events []Event
	for _, path := range paths {
		read, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		events = append(events, read...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events, nil
}

// ReadFile reads one log.
func ReadFile(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening event log: %w", err)
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, 1<<16)
	var events []Event
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return events, nil // what follows the last newline was torn
		}
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", path, err)
		}
		if len(line) > maxLineBytes {
			return nil, fmt.Errorf("reading %s: line %d is longer than %d bytes", path, number, maxLineBytes)
		}
		event, err := decodeLine(line)
		if err != nil {
			return nil, fmt.Errorf("reading %s: line %d: %w", path, number, err)
		}
		events = append(events, event)
	}
}

// lineStart begins every line of a log.
const lineStart = `{"at":`

// decodeLine decodes one line. A restarted writer appends behind the torn line
// of its forerunner: the torn part is left out and the whole event read.
func decodeLine(line []byte) (Event, error) {
	var event Event
	err := json.Unmarshal(line, &event)
	if err == nil {
		return event, nil
	}
	last := bytes.LastIndex(line, []byte(lineStart))
	if last <= 0 {
		return Event{}, err
	}
	event = Event{}
	if json.Unmarshal(line[last:], &event) != nil {
		return Event{}, err
	}
	return event, nil
}

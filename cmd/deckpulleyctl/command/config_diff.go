package command

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/configuration"
)

func newConfigDiffCommand(flags *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := readConfiguration(command, arguments[0])
			if err != nil {
				return err
			}
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				current, err := control.Configuration(ctx, true)
				if err != nil {
					return err
				}
				lines, err := diffConfiguration(current.Document, file.document)
				if err != nil {
					return err
				}
				output := command.OutOrStdout()
				fmt.Fprintf(output, "against version %d: %d changes\n", current.Version, len(lines))
				for _, line := range lines {
					fmt.Fprintln(output, line)
				}
				return nil
			})
		},
	}
}

// diffConfiguration compares the fields of two documents, not their text. It returns a
// line for each field that differs, ordered by the field's path. An empty currentText
// means that the fleet has no configuration yet.
func diffConfiguration(currentText string, desired *configuration.Document) ([]string, error) {
	current := &configuration.Document{}
	if strings.TrimSpace(currentText) != "" {
		parsed, err := configuration.Parse(currentText)
		if err != nil {
			return nil, &usageError{fmt.Errorf("this version of deckpulleyctl cannot parse the current configuration: %w", err)}
		}
		current = parsed
	}
	before, err := flattenDocument(current)
	if err != nil {
		return nil, err
	}
	after, err := flattenDocument(desired)
	if err != nil {
		return nil, err
	}
	return diffFields(before, after), nil
}

// markerWidth is the width of the marker before the path in a line of the diff.
const markerWidth = len("- ")

// diffFields compares two flattened documents. Removed, changed and added fields have
// the markers -, ~ and +.
func diffFields(before, after map[string]string) []string {
	var lines []string
	for path, value := range before {
		other, ok := after[path]
		if !ok {
			lines = append(lines, fmt.Sprintf("- %s: %s", path, value))
		} else if other != value {
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", path, value, other))
		}
	}
	for path, value := range after {
		if _, ok := before[path]; !ok {
			lines = append(lines, fmt.Sprintf("+ %s: %s", path, value))
		}
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i][markerWidth:] < lines[j][markerWidth:] })
	return lines
}

// flattenDocument maps the dotted path of each field of a document to its JSON value. A
// list is a single value.
func flattenDocument(document *configuration.Document) (map[string]string, error) {
	text, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	fields := make(map[string]string)
	flattenValue("", tree, fields)
	return fields, nil
}

// flattenValue adds the value at a path, or all fields below it, to fields.
func flattenValue(path string, value any, fields map[string]string) {
	object, isObject := value.(map[string]any)
	if !isObject {
		text, _ := json.Marshal(value) // a decoded JSON value always encodes
		fields[path] = string(text)
		return
	}
	for key, child := range object {
		childPath := key
		if path != "" {
			childPath = path + "." + key
		}
		flattenValue(childPath, child, fields)
	}
}

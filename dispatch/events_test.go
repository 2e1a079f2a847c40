package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestEventReader checks that a stream is split into complete events without any change.
func TestEventReader(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*eventBuffer) + "\n\n"
	tests := map[string]struct {
		text string
		want []string
		err  error
	}{
		"empty":                  {"", nil, io.EOF},
		"events":                 {threeEvents, []string{"1", "2", "3"}, io.EOF},
		"CRLF":                   {"id: 7\r\ndata: a\r\n\r\n", []string{"7"}, io.EOF},
		"without id":             {"data: a\n\n", []string{""}, io.EOF},
		"longer than the buffer": {long, []string{""}, io.EOF},
		"truncated":              {"id: 1\n\nid: 2\n", []string{"1"}, errTruncatedEvent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reader := newEventReader(strings.NewReader(test.text))
			var ids []string
			text := ""
			for {
				next, err := reader.next()
				if err != nil {
					if !errors.Is(err, test.err) {
						t.Errorf("last error %v, want %v", err, test.err)
					}
					break
				}
				ids = append(ids, next.id)
				text += string(next.text)
			}
			if strings.Join(ids, ",") != strings.Join(test.want, ",") {
				t.Errorf("event ids %v, want %v", ids, test.want)
			}
			if errors.Is(test.err, io.EOF) && text != test.text {
				t.Errorf("the text of the events is %q, want that of the stream", text)
			}
		})
	}
}

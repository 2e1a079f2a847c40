package platform

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// endlessRepeats is how often a test repeats an endless part.
const endlessRepeats = 2000

// TestMalformedResponsesAreBrokenOrWhole checks that a reader gets an error from a malformed
// response, or the whole body of the regular one: no form makes another response that is
// complete.
func TestMalformedResponsesAreBrokenOrWhole(t *testing.T) {
	const body = "the whole body"
	parts := responseParts("id", "by-i1", body, false)
	if len(parts) != partCount {
		t.Fatalf("a response has %d parts, want %d", len(parts), partCount)
	}
	broken := 0
	for form := range MalformedForms {
		text, repeated := malform(parts, form)
		got, err := readMalformed(text + strings.Repeat(repeated, endlessRepeats))
		if err != nil {
			broken++
			continue
		}
		if got != body {
			t.Errorf("part %d, change %d: a complete response with the body %q", form/int(changes), form%int(changes), got)
		}
	}
	if broken < MalformedForms/2 {
		t.Errorf("%d of %d forms are broken, want more than half", broken, MalformedForms)
	}
}

// readMalformed reads a response after its informational ones, and its body.
func readMalformed(text string) (string, error) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		return string(body), err
	}
}

// TestMalformedFormsOfStreamsKeepTheBody checks that the whole events of each form of a stream
// are events of the regular one: they are passed on before the rest is read.
func TestMalformedFormsOfStreamsKeepTheBody(t *testing.T) {
	const body = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	for form := range MalformedForms {
		text, repeated := malform(responseParts("id", "by-i1", body, true), form)
		got, _ := readMalformed(text + strings.Repeat(repeated, endlessRepeats))
		events := got[:strings.LastIndex(got, "\n\n")+1]
		if !strings.HasPrefix(body, events) {
			t.Errorf("part %d, change %d: the body begins with %.40q", form/int(changes), form%int(changes), got)
		}
	}
}

package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// InvalidRequestError reports a request that cannot be written as a message, because a
// part of it would end the line that it is written on.
type InvalidRequestError struct {
	// Field names the part: "method", "target" or "host".
	Field string
	Value string
}

// Error implements the error interface.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("upstream: invalid %s %q: empty, or has a space or a control character", e.Field, e.Value)
}

// writtenFields are the header fields that writeMessage sets itself.
var writtenFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeMessage writes a request as an HTTP/1.1 message (RFC 9112, section 2.1). Unlike
// http.Request.Write it sends the target in request.RequestURI unchanged, if that is set,
// and adds no User-Agent. The error is always an *InvalidRequestError.
func writeMessage(message *bytes.Buffer, request *http.Request, body []byte) error {
	target := request.RequestURI
	if target == "" {
		target = request.URL.RequestURI()
	}
	host := request.Host
	if host == "" {
		host = request.URL.Host
	}
	if err := checkRequestLine(request.Method, target, host); err != nil {
		return err
	}
	fmt.Fprintf(message, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, target, host)
	if len(body) > 0 || bodyExpected(request.Method) {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(body)))
		message.WriteString("\r\n")
	}
	if err := request.Header.WriteSubset(message, writtenFields); err != nil {
		return err
	}
	message.WriteString("\r\n")
	message.Write(body)
	return nil
}

// bodyExpected reports whether a request with the method states the length of its body even
// if it has none (RFC 9110, section 8.6).
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// checkRequestLine returns an error for a part that would change where the line or one of
// its other parts ends.
func checkRequestLine(method, target, host string) error {
	switch {
	case method == "" || !isVisible(method):
		return &InvalidRequestError{Field: "method", Value: method}
	case target == "" || !isVisible(target):
		return &InvalidRequestError{Field: "target", Value: target}
	case !isVisible(host):
		return &InvalidRequestError{Field: "host", Value: host}
	}
	return nil
}

// isVisible reports whether the text has neither spaces nor control characters.
func isVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == '\x7f' {
			return false
		}
	}
	return true
}

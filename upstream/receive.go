package upstream

import (
	"bytes"
	"fmt"
)

// headerLineOverheadBytes is what a line of a response header is charged in addition to
// its own bytes, for the memory of its entry in the http.Header.
const headerLineOverheadBytes = 128

// HeaderTooLargeError reports that the header of a response, together with the headers of
// the informational (1xx) responses before it, takes more than
// Config.MaxResponseHeaderBytes.
type HeaderTooLargeError struct {
	// LimitBytes is the limit that was exceeded.
	LimitBytes int
}

// Error implements the error interface.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("upstream: response header takes more than %d bytes", e.LimitBytes)
}

// receiver is the io.Reader of the bytes that a connection receives. It records in the
// pool when it received bytes, and limits the size of response headers, for which
// http.ReadResponse has no limit.
type receiver struct {
	conn *connection
	// readingHeader is true while the header of a response is read.
	readingHeader bool
	// headerBytesLeft is what the current header may still take. The bytes of a body that
	// arrive with the end of the header are charged too, but no read follows that they
	// could fail.
	headerBytesLeft int
}

// beginHeader starts to limit what is read to the size of a response header.
func (r *receiver) beginHeader() {
	r.readingHeader = true
	r.headerBytesLeft = r.conn.pool.config.MaxResponseHeaderBytes
}

// endHeader ends the limit. It returns a *HeaderTooLargeError if a read failed with it,
// which the error of http.ReadResponse may hide: it prefers to report a line that is
// malformed because it was cut off. Otherwise it returns err.
func (r *receiver) endHeader(err error) error {
	r.readingHeader = false
	if err != nil && r.headerBytesLeft <= 0 {
		return &HeaderTooLargeError{LimitBytes: r.conn.pool.config.MaxResponseHeaderBytes}
	}
	return err
}

// Read implements io.Reader. It returns a *HeaderTooLargeError once the header has used up
// its limit.
func (r *receiver) Read(buffer []byte) (int, error) {
	if r.readingHeader && r.headerBytesLeft <= 0 {
		return 0, &HeaderTooLargeError{LimitBytes: r.conn.pool.config.MaxResponseHeaderBytes}
	}
	count, err := r.conn.raw.Read(buffer)
	if count > 0 {
		r.conn.pool.recordReceived(r.conn.address)
	}
	if r.readingHeader {
		lines := bytes.Count(buffer[:count], []byte{'\n'})
		r.headerBytesLeft -= count + lines*headerLineOverheadBytes
	}
	return count, err
}

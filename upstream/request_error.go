package upstream

// RequestError reports that a request failed before the header of a response was read.
type RequestError struct {
	// Sent is true if the replica may have received a part of the request and may
	// therefore have executed it.
	Sent bool
	// Err is the cause of the failure.
	Err error
}

// Error implements the error interface.
func (e *RequestError) Error() string {
	if e.Sent {
		return "upstream: no response, the request may have run: " + e.Err.Error()
	}
	return "upstream: request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

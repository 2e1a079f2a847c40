package upstream

// RequestError is the failure of a request that got no response.
type RequestError struct {
	// Sent is set if the replica may have received a part of the request, and so
	// may have executed it.
	Sent bool
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *RequestError) Error() string {
	if e.Sent {
		return "upstream: no answer: " + e.Err.Error()
	}
	return "upstream: not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

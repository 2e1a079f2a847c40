package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// announcedTimeoutFraction is the fraction of the idle timeout announced by a
	// replica after which an idle connection is no longer reused. The margin avoids
	// that the replica closes the connection while a request is on its way.
	announcedTimeoutFraction = 0.6
)

// connection is a TCP connection that carries at most one request at a time. The state of
// a request is in its exchange.
type connection struct {
	pool         *Pool
	address      string
	raw          net.Conn
	receiver     *receiver
	reader       *bufio.Reader // buffers what receiver reads
	idleDeadline time.Time     // end of the time for which an idle connection may be reused
}

func newConnection(pool *Pool, address string, raw net.Conn) *connection {
	c := &connection{pool: pool, address: address, raw: raw}
	c.receiver = &receiver{conn: c}
	c.reader = bufio.NewReaderSize(c.receiver, readBufferBytes)
	return c
}

// readHeader reads the header of the final response and skips informational (1xx)
// responses. All these headers together are limited to Config.MaxResponseHeaderBytes.
func (c *connection) readHeader(request *http.Request) (*http.Response, error) {
	c.receiver.beginHeader()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, c.receiver.endHeader(err)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, c.receiver.endHeader(nil)
		}
	}
}

// reusePolicy reports whether a connection may be reused after a response, and for how long
// it may be idle until then.
func reusePolicy(response *http.Response, defaultTimeout time.Duration) (idleTimeout time.Duration, reusable bool) {
	if response.Close || response.StatusCode == http.StatusSwitchingProtocols {
		return 0, false
	}
	announced, found := announcedTimeout(response.Header.Get("Keep-Alive"))
	if !found {
		return defaultTimeout, true
	}
	idleTimeout = time.Duration(announcedTimeoutFraction * float64(announced))
	return idleTimeout, idleTimeout > 0
}

// announcedTimeout returns the value of the timeout parameter of a Keep-Alive header, and
// whether the header has a valid one.
func announcedTimeout(header string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

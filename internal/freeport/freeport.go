// Package freeport finds unused TCP addresses for local fleets and tests.
package freeport

import (
	"fmt"
	"net"
)

// Addresses returns count distinct addresses (host:port) of the host that are
// unused at the time of the call. Another process may bind one of them before the
// caller does. All listeners stay open until the last address is found, so that
// no address is returned twice.
func Addresses(host string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("finding a free port of %s: %w", host, err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

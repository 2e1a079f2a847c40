// Package freeport finds addresses that nobody uses, for fleets and tests.
package freeport

import (
	"fmt"
	"net"
)

// Addresses returns different addresses (host:port) of a host that are free now.
// All are bound before they are let go.
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

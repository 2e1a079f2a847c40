package registry

import (
	"context"
	"slices"
	"time"
)

// Requestor sends updates as in section 4. It has no state between updates.
type Requestor struct {
	Exchanger Exchanger
	// Timeout limits the wait for one server; 0 selects DefaultServerTimeout.
	Timeout time.Duration
}

// ServerOrder returns the servers named by the NS records of a view, the primary
// first if it is one of them (section 4.3).
func ServerOrder(view View) []string {
	var servers []string
	for _, record := range view.Lookup(view.Apex(), TypeNS) {
		servers = append(servers, string(record.Data))
	}
	primary := slices.Index(servers, view.SOA().Primary)
	if primary > 0 {
		servers = slices.Concat(servers[primary:primary+1], servers[:primary], servers[primary+1:])
	}
	return servers
}

// Send tries the servers in order until one answers with a code other than ServFail
// and NotImp (sections 4.4 to 4.6). If none does, the error wraps ErrNoServer and a
// *ServerError for each server tried. After an error, or after a failed prerequisite at
// any server but the first, an earlier attempt may have applied the update: only a
// marker record in the update shows whether it did (section 5.3).
func (r *Requestor) Send(ctx context.Context, servers []string, update *Update) (Result, error) {
	sequence := serverSequence{
		exchanger:  r.Exchanger,
		timeout:    r.Timeout,
		conclusive: func(code ResponseCode) bool { return code != ServFail && code != NotImp },
	}
	return sequence.send(ctx, servers, update)
}

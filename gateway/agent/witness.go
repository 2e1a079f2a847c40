package agent

import (
	"context"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
)

// witnessVote is the last vote of this gateway as a witness. It lives as long as the
// process, whose incarnation the membership names.
type witnessVote struct {
	epoch     uint64
	candidate consensus.ID
}

// serveWitnessVote votes for the first candidate of an epoch, unless a primary has granted
// a renewal lately: then both voters are there.
func (a *Agent) serveWitnessVote(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.WitnessVote
	if err := decode(&request); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return &peer.WitnessVoteReply{Granted: a.vote(&request)}, nil
}

// vote decides on a request and records the vote. The caller holds the mutex.
func (a *Agent) vote(request *peer.WitnessVote) bool {
	named := request.Cluster == a.holder.Cluster() && request.Incarnation == a.options.Gateway.Incarnation
	if !named || request.Epoch < a.witnessVote.epoch {
		return false
	}
	if request.Epoch == a.witnessVote.epoch {
		return request.Candidate == a.witnessVote.candidate
	}
	if a.options.Clock()-a.lastGrant < searchAfter {
		return false
	}
	a.witnessVote = witnessVote{epoch: request.Epoch, candidate: request.Candidate}
	a.logger.Warn("voted as a witness for a takeover", "epoch", request.Epoch, "candidate", string(request.Candidate))
	return true
}

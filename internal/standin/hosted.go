package standin

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
)

// ErrBroken means that the replica stopped, or the caller canceled the request, during a
// run.
var ErrBroken = errors.New("standin: the run was interrupted")

// Generate runs a request without HTTP, for processes that host replicas. It calls
// firstToken once, when the first token is ready. It returns an *api.Error for a refused
// request and ErrBroken for an interrupted run. Injected faults other than FaultRefuse
// have no effect here.
func (s *Server) Generate(ctx context.Context, request *api.ReplicaRequest, firstToken func()) (*api.GenerateAnswer, error) {
	select {
	case <-s.stopped:
		return nil, ErrBroken
	default:
	}
	s.logReceived(request)
	current, refused := s.accept(request)
	if refused != nil {
		s.logRefused(request, refused)
		return nil, refused
	}
	current.detail = endedComplete
	defer current.end()
	for started := false; ; started = true {
		event, ok := current.next(ctx)
		if !ok {
			return nil, ErrBroken
		}
		if !started {
			firstToken()
		}
		if event.Kind == emulator.EventEnd {
			return current.answer(), nil
		}
	}
}

package standin

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
)

// ErrBroken means that a replica died or its caller left while a run was under
// way.
var ErrBroken = errors.New("standin: the run broke off")

// Generate runs a request without HTTP, for processes that host replicas. It
// calls firstToken once, when the first token is there. A refused request is an
// *api.Error; ErrBroken ends a run that has begun. Faults have no effect here.
func (s *Server) Generate(ctx context.Context, request *api.ReplicaRequest, firstToken func()) (*api.GenerateAnswer, error) {
	select {
	case <-s.dead:
		return nil, ErrBroken
	default:
	}
	s.logReceived(request)
	current, refused := s.accept(request)
	if refused != nil {
		s.writeRefused(request, refused)
		return nil, refused
	}
	current.detail = endedWhole
	defer current.end()
	for started := false; ; started = true {
		event, alive := current.next(ctx)
		if !alive {
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

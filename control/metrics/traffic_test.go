package metrics

import (
	"testing"

	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

func TestTrafficLabelsNameControlMessages(t *testing.T) {
	cases := []struct {
		kind transport.Kind
		want string
	}{
		{kind: message.KindDescribe, want: "describe"},
		{kind: message.KindReadIndex, want: "read_index"},
		{kind: message.KindOverview, want: "overview"},
		{kind: peer.KindWhere, want: "where"},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			if got := kindName(c.kind); got != c.want {
				t.Errorf("kind label is %q, want %q", got, c.want)
			}
		})
	}
}

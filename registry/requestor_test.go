package registry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedExchanger answers with a predefined code for each server. A server without one
// never answers.
type scriptedExchanger struct {
	answers   map[string]ResponseCode
	contacted []string
	hops      []int
}

var errUnreachable = errors.New("port unreachable")

func (s *scriptedExchanger) Exchange(ctx context.Context, server string, hops int, _ *Update) (Result, error) {
	s.contacted = append(s.contacted, server)
	s.hops = append(s.hops, hops)
	code, answers := s.answers[server]
	switch {
	case !answers:
		<-ctx.Done()
		return Result{}, ctx.Err()
	case code == unreachable:
		return Result{}, errUnreachable
	}
	return Result{Code: code, FailedIndex: -1}, nil
}

// unreachable is a predefined code for a server that refuses the connection.
const unreachable ResponseCode = 255

func TestSection4Requestor(t *testing.T) {
	answers := map[string]ResponseCode{
		"ok": NoError, "refuses": Refused, "fails": ServFail, "lacks": NotImp, "closed": unreachable,
	}
	cases := []struct {
		name      string
		servers   []string
		contacted []string
		code      ResponseCode
		exhausted bool
		elapsed   time.Duration
	}{
		{"4.5 the first answer is returned", []string{"ok", "refuses"}, []string{"ok"}, NoError, false, 0},
		{"4.5 an error other than SERVFAIL and NOTIMP is returned", []string{"refuses", "ok"}, []string{"refuses"}, Refused, false, 0},
		{"4.6 after SERVFAIL and NOTIMP the next server is tried", []string{"fails", "lacks", "ok"}, []string{"fails", "lacks", "ok"}, NoError, false, 0},
		{"4.6 after an unreachable port the next server is tried", []string{"closed", "refuses"}, []string{"closed", "refuses"}, Refused, false, 0},
		{"4.6 after a timeout the next server is tried", []string{"silent", "ok"}, []string{"silent", "ok"}, NoError, false, time.Second},
		{"4.6 no server gives a conclusive answer", []string{"fails", "silent"}, []string{"fails", "silent"}, ServFail, true, time.Second},
		{"4.6 no servers", nil, nil, ServFail, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchanger := &scriptedExchanger{answers: answers}
				requestor := Requestor{Exchanger: exchanger, Timeout: time.Second}
				start := time.Now()
				result, err := requestor.Send(t.Context(), c.servers, &Update{})
				if result.Code != c.code || errors.Is(err, ErrNoServer) != c.exhausted || (err != nil) != c.exhausted {
					t.Errorf("Send returned code %s and error %v", result.Code, err)
				}
				if !slices.Equal(exchanger.contacted, c.contacted) || time.Since(start) != c.elapsed {
					t.Errorf("contacted servers %v in %v, want %v in %v", exchanger.contacted, time.Since(start), c.contacted, c.elapsed)
				}
			})
		})
	}
}

func TestSection4RequestorStopsWhenCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	exchanger := &scriptedExchanger{}
	requestor := Requestor{Exchanger: exchanger}
	if _, err := requestor.Send(ctx, []string{"silent", "other"}, &Update{}); !errors.Is(err, context.Canceled) {
		t.Errorf("Send returned error %v, want context.Canceled", err)
	}
	if len(exchanger.contacted) != 1 {
		t.Errorf("contacted servers %v, want only the first after the context was canceled", exchanger.contacted)
	}
}

func TestSection6Forwarder(t *testing.T) {
	answers := map[string]ResponseCode{"ok": NoError, "fails": ServFail, "refuses": Refused, "closed": unreachable}
	cases := []struct {
		name      string
		sources   []string
		hops      int
		contacted []string
		code      ResponseCode
		want      error
	}{
		{"6.6 the answer is returned", []string{"refuses", "ok"}, 0, []string{"refuses"}, Refused, nil},
		{"6.6 SERVFAIL is an answer too", []string{"fails", "ok"}, 0, []string{"fails"}, ServFail, nil},
		{"6.5 after a connection error the next source is tried", []string{"closed", "silent", "ok"}, 0, []string{"closed", "silent", "ok"}, NoError, nil},
		{"2.2 a timeout is answered with SERVFAIL", []string{"silent"}, 0, []string{"silent"}, ServFail, context.DeadlineExceeded},
		{"6.4 no sources", nil, 0, nil, ServFail, ErrNoServer},
		{"7.17 the last permitted hop", []string{"ok"}, DefaultMaxHops - 1, []string{"ok"}, NoError, nil},
		{"7.17 beyond the last permitted hop", []string{"ok"}, DefaultMaxHops, nil, ServFail, ErrHopLimit},
		{"7.17 a negative hop count, from a count that wrapped around", []string{"ok"}, -1, nil, ServFail, ErrHopLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchanger := &scriptedExchanger{answers: answers}
				forwarder := Forwarder{Exchanger: exchanger}
				result, err := forwarder.Forward(t.Context(), c.sources, c.hops, &Update{})
				if result.Code != c.code || !errors.Is(err, c.want) {
					t.Errorf("Forward returned code %s and error %v, want %s and %v", result.Code, err, c.code, c.want)
				}
				if !slices.Equal(exchanger.contacted, c.contacted) {
					t.Errorf("contacted servers %v, want %v", exchanger.contacted, c.contacted)
				}
				if want := slices.Repeat([]int{c.hops + 1}, len(c.contacted)); !slices.Equal(exchanger.hops, want) {
					t.Errorf("hop counts %v, want %v", exchanger.hops, want)
				}
			})
		})
	}
}

func TestSection43PrimaryFirst(t *testing.T) {
	schema, err := NewSchema()
	if err != nil {
		t.Fatal(err)
	}
	for primary, want := range map[string][]string{
		"b":       {"b", "a", "c"},
		"a":       {"a", "b", "c"},
		"outside": {"a", "b", "c"},
	} {
		table, err := New("t.", schema, SOA{Primary: primary, Serial: 1}, []string{"c", "a", "b"})
		if err != nil {
			t.Fatal(err)
		}
		if got := ServerOrder(table.View()); !slices.Equal(got, want) {
			t.Errorf("ServerOrder with primary %s: %v, want %v", primary, got, want)
		}
	}
}

package registry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// scripted answers each server's exchange from a table; a missing server never answers.
type scripted struct {
	answers map[string]ResponseCode
	asked   []string
	hops    []int
}

var errUnreachable = errors.New("port unreachable")

func (s *scripted) Exchange(ctx context.Context, server string, hops int, _ *Update) (Result, error) {
	s.asked = append(s.asked, server)
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

// unreachable is a scripted refusal of the connection.
const unreachable ResponseCode = 255

func TestSection4Requestor(t *testing.T) {
	answers := map[string]ResponseCode{
		"ok": NoError, "refuses": Refused, "fails": ServFail, "lacks": NotImp, "closed": unreachable,
	}
	cases := []struct {
		name    string
		servers []string
		asked   []string
		code    ResponseCode
		gaveUp  bool
		elapsed time.Duration
	}{
		{"4.5 the first answer counts", []string{"ok", "refuses"}, []string{"ok"}, NoError, false, 0},
		{"4.5 an error other than SERVFAIL and NOTIMP counts", []string{"refuses", "ok"}, []string{"refuses"}, Refused, false, 0},
		{"4.6 SERVFAIL and NOTIMP are dropped", []string{"fails", "lacks", "ok"}, []string{"fails", "lacks", "ok"}, NoError, false, 0},
		{"4.6 an unreachable port is dropped", []string{"closed", "refuses"}, []string{"closed", "refuses"}, Refused, false, 0},
		{"4.6 a time-out is dropped", []string{"silent", "ok"}, []string{"silent", "ok"}, NoError, false, time.Second},
		{"4.6 the list runs out", []string{"fails", "silent"}, []string{"fails", "silent"}, ServFail, true, time.Second},
		{"4.6 an empty list", nil, nil, ServFail, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchanger := &scripted{answers: answers}
				requestor := Requestor{Exchanger: exchanger, Timeout: time.Second}
				start := time.Now()
				result, err := requestor.Send(t.Context(), c.servers, &Update{})
				if result.Code != c.code || errors.Is(err, ErrNoServer) != c.gaveUp || (err != nil) != c.gaveUp {
					t.Errorf("code %s, error %v", result.Code, err)
				}
				if !slices.Equal(exchanger.asked, c.asked) || time.Since(start) != c.elapsed {
					t.Errorf("asked %v in %v, want %v in %v", exchanger.asked, time.Since(start), c.asked, c.elapsed)
				}
			})
		})
	}
}

func TestSection4RequestorStopsWithItsCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	exchanger := &scripted{}
	requestor := Requestor{Exchanger: exchanger}
	if _, err := requestor.Send(ctx, []string{"silent", "other"}, &Update{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	if len(exchanger.asked) != 1 {
		t.Errorf("asked %v after the caller went away", exchanger.asked)
	}
}

func TestSection6Forwarder(t *testing.T) {
	answers := map[string]ResponseCode{"ok": NoError, "fails": ServFail, "refuses": Refused, "closed": unreachable}
	cases := []struct {
		name    string
		sources []string
		hops    int
		asked   []string
		code    ResponseCode
		want    error
	}{
		{"6.6 the answer is passed on", []string{"refuses", "ok"}, 0, []string{"refuses"}, Refused, nil},
		{"6.6 SERVFAIL is an answer too", []string{"fails", "ok"}, 0, []string{"fails"}, ServFail, nil},
		{"6.5 connectivity errors fall back", []string{"closed", "silent", "ok"}, 0, []string{"closed", "silent", "ok"}, NoError, nil},
		{"2.2 a forwarding time-out is SERVFAIL", []string{"silent"}, 0, []string{"silent"}, ServFail, context.DeadlineExceeded},
		{"6.4 without a source there is no answer", nil, 0, nil, ServFail, ErrNoServer},
		{"7.17 the last hop", []string{"ok"}, DefaultMaxHops - 1, []string{"ok"}, NoError, nil},
		{"7.17 beyond the last hop", []string{"ok"}, DefaultMaxHops, nil, ServFail, ErrHopLimit},
		{"7.17 a hop count that wrapped", []string{"ok"}, -1, nil, ServFail, ErrHopLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchanger := &scripted{answers: answers}
				forwarder := Forwarder{Exchanger: exchanger}
				result, err := forwarder.Forward(t.Context(), c.sources, c.hops, &Update{})
				if result.Code != c.code || !errors.Is(err, c.want) {
					t.Errorf("code %s, error %v, want %s and %v", result.Code, err, c.code, c.want)
				}
				if !slices.Equal(exchanger.asked, c.asked) {
					t.Errorf("asked %v, want %v", exchanger.asked, c.asked)
				}
				for _, hops := range exchanger.hops {
					if hops != c.hops+1 {
						t.Errorf("forwarded with %d hops, want %d", hops, c.hops+1)
					}
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
			t.Errorf("primary %s: %v, want %v", primary, got, want)
		}
	}
}

package configuration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

const httpPart = `http:
  services:
    pool: {max_connections: 390, cold_per_second: 10, cold_start_ms: 3000, cache_tokens: 400000}
    web: {}
  routes:
    review:
      host: llm.example
      path_prefix: /review/
      kind: stream
      resumable: true
      timeout_ms: 15000
      first_event_ms: 1000
      max_attempts: 2
      home: bank-home
      targets: [{service: pool, weight: 9}, {service: web, weight: 1}]
    page:
      host: llm.example
      path_prefix: /
      kind: repeatable
      timeout_ms: 500
      targets: [{service: web, weight: 1}]
  limits: {max_header_bytes: 16384, max_body_bytes: 4194304}
`

func TestHTTPPartIsTranslated(t *testing.T) {
	document, err := Load(baseDocument + httpPart)
	if err != nil {
		t.Fatal(err)
	}
	translated := document.routeMap()
	translated.Version = 1
	if err := translated.Validate(); err != nil {
		t.Fatal(err)
	}
	page, review := translated.Routes[0], translated.Routes[1]
	if page.Name != "page" || page.MaxAttempts != 1 || page.Kind != routemap.Idempotent {
		t.Errorf("route page is %+v", page)
	}
	if review.Kind != routemap.Stream || !review.Resumable || review.Timeout != 15*time.Second || len(review.HomeRegions) != 1 || review.HomeRegions[0] != "north" || len(review.Targets) != 2 {
		t.Errorf("route review is %+v", review)
	}
	if pool := translated.Services[0]; pool.SlowStartDuration != 3*time.Second || pool.CacheTokens != 400000 {
		t.Errorf("service pool is %+v", pool)
	}
}

func TestInvalidHTTPPartNamesFieldAndReason(t *testing.T) {
	tests := map[string]struct{ old, replacement, field string }{
		"service name in use":   {"    web: {}", "    snippets: {}\n    web: {}", "http.services.snippets"},
		"negative connections":  {"max_connections: 390", "max_connections: -1", "http.services.pool"},
		"unknown field":         {"kind: stream", "sort: stream", "http.routes.review.sort"},
		"unknown kind":          {"kind: stream", "kind: river", "http.routes.review.kind"},
		"zero timeout":          {"timeout_ms: 500", "timeout_ms: 0", "http.routes.page.timeout_ms"},
		"prefix without slash":  {"path_prefix: /review/", "path_prefix: /review", "http.routes.review.path_prefix"},
		"same host and prefix":  {"path_prefix: /review/", "path_prefix: /", "http.routes.review.path_prefix"},
		"unknown service":       {"targets: [{service: web, weight: 1}]", "targets: [{service: wbe, weight: 1}]", "http.routes.page.targets[0].service"},
		"all weights zero":      {"targets: [{service: web, weight: 1}]", "targets: [{service: web, weight: 0}]", "http.routes.page.targets"},
		"missing weight":        {"targets: [{service: web, weight: 1}]", "targets: [{service: web}]", "http.routes.page.targets[0].weight"},
		"unknown home":          {"home: bank-home\n      targets", "home: other\n      targets", "http.routes.review.home"},
		"negative attempts":     {"max_attempts: 2", "max_attempts: -2", "http.routes.review.max_attempts"},
		"negative priority":     {"max_attempts: 2", "priority: -1", "http.routes.review.priority"},
		"negative limit":        {"max_body_bytes: 4194304", "max_body_bytes: -1", "http.limits.max_body_bytes"},
		"resumable not boolean": {"resumable: true", "resumable: often", "http.routes.review.resumable"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(baseDocument+httpPart, test.old, test.replacement, 1)
			_, err := Load(text)
			var problems *DocumentError
			if !errors.As(err, &problems) {
				t.Fatalf("error %v, want a *DocumentError", err)
			}
			for _, problem := range problems.Problems {
				if problem.Field == test.field && problem.Reason != "" && problem.Line > 0 {
					return
				}
			}
			t.Errorf("error %v, want a problem at field %s with its line", err, test.field)
		})
	}
}

func TestHTTPPartIsAddedAndRemovedWithTheDocument(t *testing.T) {
	table := newTable(t)
	configure(t, table, baseDocument+httpPart)
	with := read(t, table)
	if len(with.PathRoutes()) != 2 || len(with.HTTPServices()) != 2 || with.RequestLimits().MaxHeaderBytes != 16384 {
		t.Errorf("after adding the part for HTTP: routes %v, HTTP services %v, limits %v", with.PathRoutes(), with.HTTPServices(), with.RequestLimits())
	}
	if _, found := with.Route("snippet"); !found {
		t.Error("the routes by model name were removed")
	}
	configure(t, table, baseDocument)
	without := read(t, table)
	if len(without.PathRoutes()) != 0 || len(without.HTTPServices()) != 0 || without.RequestLimits() != (routemap.Limits{}) {
		t.Errorf("after removing the part for HTTP: routes %v, HTTP services %v, limits %v", without.PathRoutes(), without.HTTPServices(), without.RequestLimits())
	}
}

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/revision"
)

const organisation = `{"kind":"Organisation","name":"workshop","organisation":{"tokenSHA256":["4536e5b083d2375755f91e25f1fd4df9bd64f662f765e6c64e5b8c89379ac0e6"],"share":%d,"maxInProgress":5}}`

const service = `
kind: Deployment
name: shop
deployment:
  backend: service
  failureDomains: [a]
  hostClasses: [c]
  minRunners: 1
  maxRunners: 2
  fencing: ignored
  target: {firstTokenMilliseconds: 680, betweenTokensMilliseconds: 27}
  preference: {cost: 0.5, recomputedTokens: 0.5}
---
kind: Route
name: shop
route: {service: shop, deployment: shop}
`

// session collects what a row of commands prints.
type session struct {
	t     *testing.T
	store *objectapitest.MemoryStore
	log   bytes.Buffer
}

var addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+|\d\d:\d\d:\d\d\.\d{3}`)

func (s *session) run(stdin string, args ...string) {
	var stdout, stderr bytes.Buffer
	env := &environment{http: http.DefaultClient, stdin: strings.NewReader(stdin), stdout: &stdout, stderr: &stderr}
	code := run(context.Background(), args, env, func(string) objectapi.Store { return s.store })
	for _, arg := range args {
		fmt.Fprintf(&s.log, "%s ", addressPattern.ReplaceAllString(arg, "ADDRESS"))
	}
	fmt.Fprintf(&s.log, "\n-- exit %d\n%s", code, addressPattern.ReplaceAllString(stdout.String(), "ADDRESS"))
	if stderr.Len() > 0 {
		fmt.Fprintf(&s.log, "-- stderr\n%s", addressPattern.ReplaceAllString(stderr.String(), "ADDRESS"))
	}
	fmt.Fprintln(&s.log)
}

// api runs a command against the store.
func (s *session) api(stdin string, args ...string) {
	s.run(stdin, append(args, "--object-api", "http://unused")...)
}

func (s *session) put(key string, value any) {
	if _, err := s.store.Put(context.Background(), key, value, objectapi.AnyVersion); err != nil {
		s.t.Fatal(err)
	}
}

func check(t *testing.T, name string, steps func(s *session)) {
	t.Run(name, func(t *testing.T) {
		s := &session{t: t, store: objectapitest.NewMemoryStore()}
		steps(s)
		goldie.New(t).Assert(t, name, s.log.Bytes())
	})
}

// TestOutput guards against output, errors and exit codes that change unseen.
func TestOutput(t *testing.T) {
	check(t, "usage", func(s *session) {
		s.run("")
		s.run("", "paint")
		s.run("", "list", "-o", "yaml")
		s.run("", "list")
		s.api("", "get", "workshop")
		s.api("", "list", "Planet")
		s.api("", "explain")
		s.run("", "validate")
		s.api(service, "apply", "-f", "-", "--expect-version", "1")
		s.run("", "apply", "--help")
	})
	check(t, "validate", func(s *session) {
		s.run(service, "validate", "-f", "-")
		s.run(service, "validate", "-f", "-", "-o", "json")
		s.run("kind: Route\nname: x\nroute: {service: x, deployment: shop}\n", "validate", "-f", "-")
		s.run("{{{", "validate", "-f", "-")
		s.run("", "validate", "-f", "missing.yaml")
	})
	check(t, "objects", func(s *session) {
		s.api(service, "apply", "-f", "-")
		s.api(service, "apply", "-f", "-", "-o", "json")
		s.api(fmt.Sprintf(organisation, 1), "apply", "-f", "-", "--expect-version", "0")
		s.api(fmt.Sprintf(organisation, 0), "apply", "-f", "-")
		s.api("", "get", "Organisation/workshop")
		s.api("", "get", "Organisation/workshop", "-o", "json")
		s.api("", "get", "Organisation/nobody")
		s.api("", "list")
		s.api("", "list", "Route", "-o", "json")
		s.api("", "delete", "Deployment/shop")
		s.api("", "delete", "Deployment/shop", "Route/shop")
		s.api("", "delete", "Route/shop")
		s.api("", "watch", "--count", "1")
		s.api("", "watch", "--count", "1", "-o", "json")
	})
	check(t, "status", func(s *session) {
		s.api(service, "apply", "-f", "-")
		s.api(fmt.Sprintf(organisation, 1), "apply", "-f", "-")
		ready := 1
		s.put("status/Deployment/shop", object.Status{ObservedVersion: 1, Accepted: true, Revision: 3, ReadyRunners: &ready})
		s.put("status/Route/shop", object.Status{ObservedVersion: 1, Reason: "route.service: taken"})
		s.put("status/Route/gone", object.Status{Reason: "still referred to", Revision: 2})
		s.put(revision.CurrentKey, revision.Pointer{Number: 4})
		s.api("", "status")
		s.api("", "status", "Organisation/workshop", "-o", "json")
		s.api("", "status", "Route/nowhere")
		s.api("", "watch", "Deployment", "--count", "2")
	})
}

// TestConflicts guards against a change of another operator that is overwritten or not shown.
func TestConflicts(t *testing.T) {
	check(t, "conflict", func(s *session) {
		s.api(fmt.Sprintf(organisation, 1), "apply", "-f", "-")
		s.api(fmt.Sprintf(organisation, 2), "apply", "-f", "-", "--expect-version", "1")
		s.api(fmt.Sprintf(organisation, 3), "apply", "-f", "-", "--expect-version", "1")
		s.api(fmt.Sprintf(organisation, 3), "apply", "-f", "-", "--expect-version", "1", "-o", "json")
		s.api("", "delete", "Organisation/workshop", "--expect-version", "1")
		other := json.RawMessage(strings.Replace(fmt.Sprintf(organisation, 9), `"maxInProgress":5`, `"maxInProgress":50`, 1))
		raced := false
		s.store.BeforeCall = func(kind, _ string) error {
			if kind == "put" && !raced {
				raced = true
				s.put("spec/Organisation/workshop", other)
			}
			return nil
		}
		s.api(fmt.Sprintf(organisation, 4), "apply", "-f", "-")
	})
	check(t, "unavailable", func(s *session) {
		s.store.BeforeCall = func(kind, _ string) error {
			if kind == "put" {
				return objectapi.ErrOutcomeUnknown
			}
			return nil
		}
		s.api(fmt.Sprintf(organisation, 1), "apply", "-f", "-")
		s.store.BeforeCall = func(string, string) error { return objectapi.ErrUnavailable }
		s.api("", "list")
	})
	check(t, "lost_delete", func(s *session) {
		s.api(fmt.Sprintf(organisation, 1), "apply", "-f", "-")
		s.store.AfterWrite = func(kind, _ string) error {
			if kind == "delete" {
				return objectapi.ErrOutcomeUnknown
			}
			return nil
		}
		s.api("", "delete", "Organisation/workshop")
	})
}

// TestExplain guards against decisions that are not found, and against a silent node that goes unmentioned.
func TestExplain(t *testing.T) {
	recorder := decision.NewRecorder("node-1", 10, func(string) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) })
	recorder.Record("entry", "run-1", "first by rendezvous hash", "node-2", []string{"node-3: draining", "node-4"})
	recorder.Record("dispatch", "run-1", "least loaded", "host-9", nil)
	server := httptest.NewServer(recorder)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	check(t, "explain", func(s *session) {
		s.put("nodes/node-1", membership.Node{Name: "node-1", AdminAddress: address})
		s.api("", "explain", "run", "run-1")
		s.api("", "explain", "host", "host-9")
		s.api("", "explain", "run", "run-2")
		s.run("", "explain", "run", "run-2", "--admin", address)
		server.Close()
		s.api("", "explain", "run", "run-1")
	})
}

func TestMain(m *testing.M) {
	_ = os.Unsetenv("RUDDER_OBJECT_API")
	os.Exit(m.Run())
}

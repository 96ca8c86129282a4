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
	"path/filepath"
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

// organisationManifest is an Organisation as a format string for its share.
const organisationManifest = `{"kind":"Organisation","name":"workshop","organisation":{"tokenSHA256":["4536e5b083d2375755f91e25f1fd4df9bd64f662f765e6c64e5b8c89379ac0e6"],"share":%d,"maxInProgress":5}}`

// serviceManifests are a Deployment of a service and its Route.
const serviceManifests = `
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

// session runs commands against one store and records their arguments, exit codes and output.
type session struct {
	t          *testing.T
	store      *objectapitest.MemoryStore
	form       ConfigForm
	transcript bytes.Buffer
}

// addressOrTimePattern matches the texts that differ from run to run: local addresses and times of day.
var addressOrTimePattern = regexp.MustCompile(`127\.0\.0\.1:\d+|\d\d:\d\d:\d\d\.\d{3}`)

// runCommand runs a command and adds it to the transcript.
func (s *session) runCommand(stdin string, args ...string) {
	var stdout, stderr bytes.Buffer
	env := &environment{http: http.DefaultClient, configForm: s.form, stdin: strings.NewReader(stdin), stdout: &stdout, stderr: &stderr}
	code := run(context.Background(), args, env, func(string) objectapi.Store { return s.store })
	for _, arg := range args {
		fmt.Fprintf(&s.transcript, "%s ", addressOrTimePattern.ReplaceAllString(arg, "ADDRESS"))
	}
	fmt.Fprintf(&s.transcript, "\n-- exit %d\n%s", code, addressOrTimePattern.ReplaceAllString(stdout.String(), "ADDRESS"))
	if stderr.Len() > 0 {
		fmt.Fprintf(&s.transcript, "-- stderr\n%s", addressOrTimePattern.ReplaceAllString(stderr.String(), "ADDRESS"))
	}
	fmt.Fprintln(&s.transcript)
}

// runWithStore runs a command with the store as the object API.
func (s *session) runWithStore(stdin string, args ...string) {
	s.runCommand(stdin, append(args, "--object-api", "http://unused")...)
}

func (s *session) put(key string, value any) {
	if _, err := s.store.Put(context.Background(), key, value, objectapi.AnyVersion); err != nil {
		s.t.Fatal(err)
	}
}

// checkGolden runs the steps on an empty store and compares the transcript with the golden file of that name.
func checkGolden(t *testing.T, name string, steps func(s *session)) {
	checkGoldenWithForm(t, name, ConfigForm{}, steps)
}

// goldenDirectory is an absolute path, since tests may change the working directory.
var goldenDirectory, _ = filepath.Abs("testdata")

// checkGoldenWithForm is checkGolden with a form of the configuration of relayed traffic.
func checkGoldenWithForm(t *testing.T, name string, form ConfigForm, steps func(s *session)) {
	t.Run(name, func(t *testing.T) {
		s := &session{t: t, store: objectapitest.NewMemoryStore(), form: form}
		steps(s)
		goldie.New(t, goldie.WithFixtureDir(goldenDirectory)).Assert(t, name, s.transcript.Bytes())
	})
}

// TestCommandOutput guards against unintended changes of output, error messages and exit codes.
func TestCommandOutput(t *testing.T) {
	checkGolden(t, "usage", func(s *session) {
		s.runCommand("")
		s.runCommand("", "paint")
		s.runCommand("", "list", "-o", "yaml")
		s.runCommand("", "list")
		s.runWithStore("", "get", "workshop")
		s.runWithStore("", "list", "Planet")
		s.runWithStore("", "explain")
		s.runCommand("", "validate")
		s.runWithStore(serviceManifests, "apply", "-f", "-", "--expect-version", "1")
		s.runCommand("", "apply", "--help")
	})
	checkGolden(t, "validate", func(s *session) {
		s.runCommand(serviceManifests, "validate", "-f", "-")
		s.runCommand(serviceManifests, "validate", "-f", "-", "-o", "json")
		s.runCommand("kind: Route\nname: x\nroute: {service: x, deployment: shop}\n", "validate", "-f", "-")
		s.runCommand("{{{", "validate", "-f", "-")
		s.runCommand("", "validate", "-f", "missing.yaml")
	})
	checkGolden(t, "objects", func(s *session) {
		s.runWithStore(serviceManifests, "apply", "-f", "-")
		s.runWithStore(serviceManifests, "apply", "-f", "-", "-o", "json")
		s.runWithStore(fmt.Sprintf(organisationManifest, 1), "apply", "-f", "-", "--expect-version", "0")
		s.runWithStore(fmt.Sprintf(organisationManifest, 0), "apply", "-f", "-")
		s.runWithStore("", "get", "Organisation/workshop")
		s.runWithStore("", "get", "Organisation/workshop", "-o", "json")
		s.runWithStore("", "get", "Organisation/nobody")
		s.runWithStore("", "list")
		s.runWithStore("", "list", "Route", "-o", "json")
		s.runWithStore("", "delete", "Deployment/shop")
		s.runWithStore("", "delete", "Deployment/shop", "Route/shop")
		s.runWithStore("", "delete", "Route/shop")
		s.runWithStore("", "watch", "--count", "1")
		s.runWithStore("", "watch", "--count", "1", "-o", "json")
	})
	checkGolden(t, "status", func(s *session) {
		s.runWithStore(serviceManifests, "apply", "-f", "-")
		s.runWithStore(fmt.Sprintf(organisationManifest, 1), "apply", "-f", "-")
		ready := 1
		s.put("status/Deployment/shop", object.Status{ObservedVersion: objectapi.Version{Number: 1}, Accepted: true, Revision: 3, ReadyRunners: &ready})
		s.put("status/Route/shop", object.Status{ObservedVersion: objectapi.Version{Number: 1}, Reason: "route.service: taken"})
		s.put("status/Route/gone", object.Status{Reason: "still referred to", Revision: 2})
		s.put(revision.PointerKey, revision.Pointer{Number: 4})
		s.runWithStore("", "status")
		s.runWithStore("", "status", "Organisation/workshop", "-o", "json")
		s.runWithStore("", "status", "Route/nowhere")
		s.runWithStore("", "watch", "Deployment", "--count", "2")
	})
}

// TestWriteConflictsAndLostResponses guards against overwriting a concurrent change of another operator or not showing it,
// and against wrong exit codes when the object API is unavailable or the outcome of a write is unknown.
func TestWriteConflictsAndLostResponses(t *testing.T) {
	checkGolden(t, "conflict", func(s *session) {
		s.runWithStore(fmt.Sprintf(organisationManifest, 1), "apply", "-f", "-")
		s.runWithStore(fmt.Sprintf(organisationManifest, 2), "apply", "-f", "-", "--expect-version", "1")
		s.runWithStore(fmt.Sprintf(organisationManifest, 3), "apply", "-f", "-", "--expect-version", "1")
		s.runWithStore(fmt.Sprintf(organisationManifest, 3), "apply", "-f", "-", "--expect-version", "1", "-o", "json")
		s.runWithStore("", "delete", "Organisation/workshop", "--expect-version", "1")
		concurrentWrite := json.RawMessage(strings.Replace(fmt.Sprintf(organisationManifest, 9), `"maxInProgress":5`, `"maxInProgress":50`, 1))
		hasWritten := false
		s.store.BeforeCall = func(kind, _ string) error {
			if kind == "put" && !hasWritten {
				hasWritten = true
				s.put("spec/Organisation/workshop", concurrentWrite)
			}
			return nil
		}
		s.runWithStore(fmt.Sprintf(organisationManifest, 4), "apply", "-f", "-")
	})
	// A version that is given out again after a restore must not pass for the one that the operator has read.
	checkGolden(t, "restored", func(s *session) {
		s.runWithStore(fmt.Sprintf(organisationManifest, 1), "apply", "-f", "-")
		oldCopy := s.store.Copy()
		s.runWithStore(fmt.Sprintf(organisationManifest, 2), "apply", "-f", "-")
		s.store.Restore(oldCopy)
		s.put("spec/Organisation/workshop", json.RawMessage(fmt.Sprintf(organisationManifest, 9)))
		s.put("status/Organisation/workshop", object.Status{ObservedVersion: objectapi.Version{Number: 2}, Accepted: true, Revision: 3})
		s.runWithStore("", "status")
		s.runWithStore(fmt.Sprintf(organisationManifest, 3), "apply", "-f", "-", "--expect-version", "2")
		s.runWithStore("", "delete", "Organisation/workshop", "--expect-version", "2")
		s.runWithStore("", "get", "Organisation/workshop", "-o", "json")
		s.runWithStore(fmt.Sprintf(organisationManifest, 3), "apply", "-f", "-", "--expect-version", "1.2")
		s.runWithStore("", "apply", "-f", "-", "--expect-version", "1.x")
		s.runWithStore("", "watch", "Organisation", "--count", "1")
	})
	checkGolden(t, "unavailable", func(s *session) {
		s.store.BeforeCall = func(kind, _ string) error {
			if kind == "put" {
				return objectapi.ErrOutcomeUnknown
			}
			return nil
		}
		s.runWithStore(fmt.Sprintf(organisationManifest, 1), "apply", "-f", "-")
		s.store.BeforeCall = func(string, string) error { return objectapi.ErrUnavailable }
		s.runWithStore("", "list")
	})
	checkGolden(t, "lost_delete", func(s *session) {
		s.runWithStore(fmt.Sprintf(organisationManifest, 1), "apply", "-f", "-")
		s.store.AfterWrite = func(kind, _ string) error {
			if kind == "delete" {
				return objectapi.ErrOutcomeUnknown
			}
			return nil
		}
		s.runWithStore("", "delete", "Organisation/workshop")
	})
}

// TestExplain guards against decisions that are not found and against a node that does not respond without being reported.
func TestExplain(t *testing.T) {
	recorder := decision.NewRecorder("node-1", 10, func(string) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) })
	recorder.Record("entry", "run-1", "first by rendezvous hash", "node-2", []string{"node-3: draining", "node-4"})
	recorder.Record("dispatch", "run-1", "least loaded", "host-9", nil)
	server := httptest.NewServer(recorder)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	checkGolden(t, "explain", func(s *session) {
		s.put("nodes/node-1", membership.Node{Name: "node-1", AdminAddress: address})
		s.runWithStore("", "explain", "run", "run-1")
		s.runWithStore("", "explain", "host", "host-9")
		s.runWithStore("", "explain", "run", "run-2")
		s.runCommand("", "explain", "run", "run-2", "--admin", address)
		server.Close()
		s.runWithStore("", "explain", "run", "run-1")
	})
}

func TestMain(m *testing.M) {
	_ = os.Unsetenv("RUDDER_OBJECT_API")
	_ = os.Unsetenv("RUDDER_STORE")
	os.Exit(m.Run())
}

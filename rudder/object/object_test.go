package object

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
)

// TestAllProblemsAreReported guards against invalid input that is accepted, and against a problem that hides others.
func TestAllProblemsAreReported(t *testing.T) {
	for _, name := range []string{"bad", "shape"} {
		t.Run(name, func(t *testing.T) {
			file, err := os.Open(filepath.Join("testdata", name+".yaml"))
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			objects, err := Decode(file)
			var problems Problems
			if err != nil && !errors.As(err, &problems) {
				t.Fatal(err)
			}
			problems = append(problems, ValidateAll(objects, nil)...)
			goldie.New(t).Assert(t, name, []byte(problems.Error()+"\n"))
		})
	}
}

// TestExamplesValidate guards against examples that operators cannot apply.
func TestExamplesValidate(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example files found, error: %v", err)
	}
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		objects, err := Decode(file)
		_ = file.Close()
		if err == nil {
			err = ValidateAll(objects, nil).Err()
		}
		if err != nil || len(objects) == 0 {
			t.Errorf("%s: decoded %d objects, error: %v", path, len(objects), err)
		}
	}
}

const organisationJSON = `{"kind":"Organisation","name":"x","organisation":{"tokenSHA256":[],"share":1,"maxInProgress":1}}`

// TestDecodeInputFormats guards against input formats that are decoded incorrectly or incompletely.
func TestDecodeInputFormats(t *testing.T) {
	for _, c := range []struct {
		name, text  string
		wantObjects int
		wantError   bool
	}{
		{"JSON values", organisationJSON + "\n" + organisationJSON, 2, false},
		{"empty documents", "---\n---\n# comment only\n---\nkind: Route\nname: r\n", 1, false},
		{"separator within a text", "kind: Route\nname: \"a\\n--- b\"\n", 1, false},
		{"flow mapping", "{kind: Route, name: r}\n", 1, false},
		{"repeated field", "kind: Route\nname: a\nname: b\n", 0, true},
		{"repeated JSON field", `{"kind":"Route","name":"a","name":"b"}`, 0, true},
		{"JSON cut off", organisationJSON + organisationJSON[:20], 0, true},
		{"nothing", "", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			objects, err := Decode(strings.NewReader(c.text))
			if (err != nil) != c.wantError || len(objects) != c.wantObjects {
				t.Errorf("got %d objects, error %v", len(objects), err)
			}
		})
	}
}

// TestValidateAllWithKnownObjects guards against files that cannot refer to applied objects, or whose objects can have the
// unique keys of applied ones.
func TestValidateAllWithKnownObjects(t *testing.T) {
	service := Object{Kind: KindDeployment, Name: "d", Deployment: &DeploymentSpec{Backend: BackendService}}
	old := Object{Kind: KindRoute, Name: "old", Route: &RouteSpec{Service: "s", Deployment: "d"}}
	known := NewSet([]Object{service, old})
	other := Object{Kind: KindRoute, Name: "a", Route: &RouteSpec{Service: "t", Deployment: "d"}}
	if problems := ValidateAll([]Object{other}, known); len(problems) > 0 {
		t.Errorf("reference to a known object was rejected: %v", problems)
	}
	other.Route.Service = "s"
	if problems := ValidateAll([]Object{other}, known); len(problems) != 1 || problems[0].Object != "Route/a" {
		t.Errorf("conflict with a known route: got problems %v, want one for Route/a", problems)
	}
	other.Name = "old"
	if problems := ValidateAll([]Object{other}, known); len(problems) > 0 {
		t.Errorf("new version of a known route was rejected: %v", problems)
	}
}

package rawjson

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a document that cannot be split because one of its parts is malformed, or is split at the wrong place.
func TestMalformedPartsAreSeparated(t *testing.T) {
	for _, part := range []string{
		`1e400`, `Infinity`, `nul`, `{"a":nope}`, `{a:1}`, "\"\x00\xff\"", `"\x"`, `"]},{[\""`, `[1 2]`, `{"a":[}]`,
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000), strings.Repeat("7", 100000),
	} {
		document := fmt.Sprintf(` { "before" : "x" , "list" : [ 1 , %s , {"name":"n"} ] , "part":%s,"after":3} `, part, part)
		fields, err := Fields([]byte(document))
		if err != nil || len(fields) != 4 || string(fields["before"]) != `"x"` || string(fields["part"]) != part || string(fields["after"]) != "3" {
			t.Fatalf("with the part %.40q: fields %.200q, error %v", part, fields, err)
		}
		elements, err := Elements(fields["list"])
		if err != nil || len(elements) != 3 || string(elements[1]) != part || string(elements[2]) != `{"name":"n"}` {
			t.Fatalf("with the part %.40q: elements %.200q, error %v", part, elements, err)
		}
	}
}

// Guards against a part of a document that is taken for the whole, and against reading beyond its end.
func TestDocumentsThatCannotBeSplit(t *testing.T) {
	for _, document := range []string{``, ` `, `5`, `null`, `"{}"`, `{`, `[`, `{"a`, `{"a\`, `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":[}`, `{"a" 1}`, `{"a":1 "b":2}`, `{"a":}`, `{5:1}`, `[1`, `[1,`, `[,]`, `["`, `["\`, `[1:2]`, `[[1]`} {
		if fields, err := Fields([]byte(document)); err == nil {
			t.Errorf("Fields(%q) = %q without an error", document, fields)
		}
		if elements, err := Elements([]byte(document)); err == nil {
			t.Errorf("Elements(%q) = %q without an error", document, elements)
		}
	}
}

// Guards against a valid document that is split in another way than encoding/json decodes it.
func TestValidDocumentsAreSplitAsEncodingJSONDecodesThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(t, "document")
		raw, err := json.MarshalIndent(document, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		if err != nil {
			t.Fatal(err)
		}
		fields, err := Fields(raw)
		if err != nil || len(fields) != len(document) {
			t.Fatalf("%d fields, error %v, want %d", len(fields), err, len(document))
		}
		for name, want := range document {
			if want == nil {
				continue
			}
			elements, err := Elements(fields[name])
			if err != nil || len(elements) != len(want) {
				t.Fatalf("field %q: %d elements, error %v, want %d", name, len(elements), err, len(want))
			}
			for i := range want {
				var got string
				if err := json.Unmarshal(elements[i], &got); err != nil || got != want[i] {
					t.Fatalf("field %q, element %d is %q, error %v, want %q", name, i, got, err, want[i])
				}
			}
		}
	})
}
